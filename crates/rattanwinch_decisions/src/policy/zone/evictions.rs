//! Evictions: checkpoint orders, stop orders, and draining of closed zones and excluded workers.

use std::sync::Arc;

use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;

use crate::policy::outcomes::Decision;
use crate::policy::outcomes::reasons;
use crate::policy::queue::ActiveJob;
use crate::policy::workers::JobId;
use crate::policy::workers::Occupancy;
use crate::policy::zone::zone_policy::ZonePolicy;

/// At most one in this many of a zone's accelerators is checkpointed at once while the zone is
/// drained. Checkpoints share the storage, and all at once would exceed the checkpoint limit.
const DRAIN_CONCURRENCY_DIVISOR: u32 = 4;

impl ZonePolicy {
    /// Continues pending evictions, and evicts from closed zones and excluded workers.
    pub(super) fn evict(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        self.stop_overdue_checkpoints(now, decisions);
        if let Some(closure_reason) = self.zone_config.closure_reason.clone() {
            self.drain(&closure_reason, now, decisions);
        }
        if !self.zone_config.exclusions.is_empty() {
            self.evict_from_excluded(now, decisions);
        }
        self.evict_backfilled(now, decisions);
        if self.zone_config.closure_reason.is_none() {
            self.relocate_borrowers(now, decisions);
        }
    }

    /// Orders a checkpoint of a running job; has no effect on other jobs.
    pub(super) fn begin_eviction(
        &mut self,
        id: JobId,
        reason: Arc<str>,
        now: Timestamp,
        decisions: &mut Vec<Decision>,
    ) {
        let job = match self.active.remove(&id) {
            Some(ActiveJob::Running(job)) => job,
            Some(other) => {
                self.active.insert(id, other);
                return;
            }
            None => return,
        };
        let stop_at = now + self.zone_config.defaults.checkpoint_limit;
        self.wake_at(stop_at);
        let slots = &job.state.allocation.slots;
        self.pool
            .change_occupant(id, slots, |occupant| occupant.state = Occupancy::Evicting);
        decisions.push(Decision::Evict {
            key: job.spec.key.clone(),
            mode: StopMode::Checkpoint,
            reason: Arc::clone(&reason),
        });
        let job = job.evict(stop_at, reason);
        self.active.insert(id, ActiveJob::Evicting(job));
    }

    /// Orders a stop of jobs whose checkpoint exceeded its limit, and repeats it after each stop
    /// limit.
    fn stop_overdue_checkpoints(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let defaults = &self.zone_config.defaults;
        let (checkpoint_limit, stop_limit) = (defaults.checkpoint_limit, defaults.stop_limit);
        let next = now + stop_limit.max(std::time::Duration::from_millis(100));
        let mut has_overdue = false;
        for job in self.active.values_mut() {
            let ActiveJob::Evicting(job) = job else {
                continue;
            };
            if job.state.stop_at > now {
                continue;
            }
            has_overdue = true;
            job.state.stop_at = next;
            decisions.push(Decision::Evict {
                key: job.spec.key.clone(),
                mode: StopMode::Stop,
                reason: reasons::stop(&job.state.reason, checkpoint_limit),
            });
        }
        if has_overdue {
            self.wake_at(next);
        }
    }

    fn drain(&mut self, closure_reason: &str, now: Timestamp, decisions: &mut Vec<Decision>) {
        let mut evicting = 0;
        let mut running = Vec::new();
        for (id, job) in &self.active {
            let accelerators = job.spec().shape.accelerators();
            match job {
                ActiveJob::Evicting(_) => evicting += accelerators,
                ActiveJob::Running(running_job) => {
                    let elapsed = now.since(running_job.state.since).as_millis();
                    let at_risk = elapsed.saturating_mul(u128::from(accelerators));
                    let is_guaranteed = job.allocation().is_guaranteed();
                    running.push((is_guaranteed, at_risk, *id, accelerators));
                }
                ActiveJob::Holding(_) => {}
            }
        }
        running.sort_unstable();
        let max_evicting = (self.usable_accelerators() / DRAIN_CONCURRENCY_DIVISOR).max(1);
        for (is_guaranteed, _, id, accelerators) in running {
            if evicting >= max_evicting {
                return;
            }
            evicting += accelerators;
            let reason = reasons::closing_eviction(closure_reason, is_guaranteed);
            self.begin_eviction(id, reason, now, decisions);
        }
    }

    fn evict_from_excluded(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let mut evictions = Vec::new();
        for (target, exclusion) in &self.zone_config.exclusions {
            let Some(worker) = self.pool.find(target) else {
                continue;
            };
            let reason = reasons::exclusion_eviction(target.as_str(), exclusion);
            let occupants = self.pool.get(worker).started_occupants(u8::MAX);
            evictions.extend(occupants.map(|job| (job.job, Arc::clone(&reason))));
        }
        for (id, reason) in evictions {
            self.begin_eviction(id, reason, now, decisions);
        }
    }
}
