//! Evictions: the order to checkpoint, the order to stop, closed zones and excluded workers.

use std::sync::Arc;

use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;

use crate::policy::outcomes::Decision;
use crate::policy::outcomes::reasons;
use crate::policy::queue::ActiveJob;
use crate::policy::workers::JobId;
use crate::policy::workers::Tenure;
use crate::policy::zone::zone_policy::ZonePolicy;

/// The share of a zone's accelerators that are checkpointed at once while the zone is drained:
/// one in so many. Checkpoints share the storage, and all at once would exceed their limit.
const DRAIN_SHARE: u32 = 4;

impl ZonePolicy {
    /// Continues evictions that have begun, and evicts from closed zones and excluded workers.
    pub(super) fn evict(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        self.stop_late(now, decisions);
        if let Some(closure) = self.rules.closure.clone() {
            self.drain(&closure, now, decisions);
        }
        if !self.rules.exclusions.is_empty() {
            self.leave_excluded(now, decisions);
        }
        self.evict_let_in(now, decisions);
        if self.rules.closure.is_none() {
            self.move_borrowers(now, decisions);
        }
    }

    /// Orders a checkpoint of a running job; does nothing if the job isn't running.
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
        let stop_at = now + self.rules.defaults.checkpoint_limit;
        self.wake_at(stop_at);
        let slots = &job.state.allocation.slots;
        self.pool
            .change_occupant(id, slots, |occupant| occupant.tenure = Tenure::Leaving);
        decisions.push(Decision::Evict {
            key: job.spec.key.clone(),
            mode: StopMode::Checkpoint,
            reason: Arc::clone(&reason),
        });
        let job = job.evict(stop_at, reason);
        self.active.insert(id, ActiveJob::Evicting(job));
    }

    /// Orders the stop of jobs whose checkpoint is late, again after each stop limit.
    fn stop_late(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let defaults = &self.rules.defaults;
        let (checkpoint_limit, stop_limit) = (defaults.checkpoint_limit, defaults.stop_limit);
        let next = now + stop_limit.max(std::time::Duration::from_millis(100));
        let mut has_late = false;
        for job in self.active.values_mut() {
            let ActiveJob::Evicting(job) = job else {
                continue;
            };
            if job.state.stop_at > now {
                continue;
            }
            has_late = true;
            job.state.stop_at = next;
            decisions.push(Decision::Evict {
                key: job.spec.key.clone(),
                mode: StopMode::Stop,
                reason: reasons::stop(&job.state.reason, checkpoint_limit),
            });
        }
        if has_late {
            self.wake_at(next);
        }
    }

    fn drain(&mut self, closure: &str, now: Timestamp, decisions: &mut Vec<Decision>) {
        let mut leaving = 0;
        let mut running = Vec::new();
        for (id, job) in &self.active {
            let accelerators = job.spec().shape.accelerators();
            match job {
                ActiveJob::Evicting(_) => leaving += accelerators,
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
        let at_once = (self.usable_accelerators() / DRAIN_SHARE).max(1);
        for (is_guaranteed, _, id, accelerators) in running {
            if leaving >= at_once {
                return;
            }
            leaving += accelerators;
            let reason = reasons::closing_eviction(closure, is_guaranteed);
            self.begin_eviction(id, reason, now, decisions);
        }
    }

    fn leave_excluded(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let mut evictions = Vec::new();
        for (target, exclusion) in &self.rules.exclusions {
            let Some(worker) = self.pool.find(target) else {
                continue;
            };
            let reason = reasons::exclusion_eviction(target.as_str(), exclusion);
            let occupants = self.pool.get(worker).started_on(u8::MAX);
            evictions.extend(occupants.map(|job| (job.job, Arc::clone(&reason))));
        }
        for (id, reason) in evictions {
            self.begin_eviction(id, reason, now, decisions);
        }
    }
}
