use std::collections::BTreeMap;
use std::collections::VecDeque;

use rattanwinch_decisions::Decision;
use rattanwinch_decisions::JobEnd;
use rattanwinch_decisions::Placement;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::backfill;
use crate::block_map::BlockMap;
use crate::block_map::Fit;
use crate::zone_scheduler::ZoneScheduler;

/// A job that a baseline has started.
#[derive(Clone, Debug)]
pub(crate) struct StartedJob {
    /// What was asked for.
    pub spec: JobSpec,
    /// Where it runs.
    pub placement: Placement,
    /// When it started.
    pub since: Timestamp,
    /// Whether it has been told to leave.
    pub is_leaving: bool,
}

/// The baselines: first come, first fit; or first come with backfill and best fit.
///
/// Neither knows guarantees, urgency or quarantine. In a closed zone everything is checkpointed
/// at once.
#[derive(Debug)]
pub(crate) struct FirstCome {
    fit: Fit,
    map: BlockMap,
    queue: VecDeque<JobSpec>,
    started: BTreeMap<RequestKey, StartedJob>,
    is_closed: bool,
}

impl FirstCome {
    pub(crate) fn new(workers: &[WorkerInfo], fit: Fit) -> Self {
        Self {
            fit,
            map: BlockMap::new(workers),
            queue: VecDeque::new(),
            started: BTreeMap::new(),
            is_closed: false,
        }
    }

    fn start(&mut self, spec: JobSpec, placement: Placement, now: Timestamp) -> Decision {
        self.map.take(&placement);
        let key = spec.key.clone();
        let job = StartedJob {
            spec,
            placement: placement.clone(),
            since: now,
            is_leaving: false,
        };
        self.started.insert(key.clone(), job);
        Decision::Start {
            key,
            placement,
            reason: "next in turn".into(),
        }
    }

    fn leave(&mut self) -> Vec<Decision> {
        let running = self.started.values_mut().filter(|job| !job.is_leaving);
        running
            .map(|job| {
                job.is_leaving = true;
                Decision::Evict {
                    key: job.spec.key.clone(),
                    mode: StopMode::Checkpoint,
                    reason: "the zone is closed".into(),
                }
            })
            .collect()
    }

    fn start_in_turn(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        while let Some(next) = self.queue.front() {
            let Some(slots) = self.map.find(next.shape, self.fit) else {
                return;
            };
            let placement = self.map.placement(&slots);
            let Some(next) = self.queue.pop_front() else {
                return;
            };
            decisions.push(self.start(next, placement, now));
        }
    }

    /// Starts later jobs that don't delay the first one, if declared times are right.
    fn start_ahead(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(head) = self.queue.front() else {
            return;
        };
        let head_shape = head.shape;
        let reservation = backfill::reserve(&self.map, &self.started, head_shape, now);
        let Some((free_at, then)) = reservation else {
            return;
        };
        let mut index = 1;
        while index < self.queue.len() {
            let spec = &self.queue[index];
            let slots = self.map.find(spec.shape, self.fit);
            let placement = slots.map(|slots| self.map.placement(&slots));
            let is_harmless = |placement: &Placement| {
                let is_over = now + spec.declared_run_time <= free_at;
                is_over || backfill::still_fits(&then, placement, head_shape)
            };
            match placement.filter(is_harmless) {
                Some(placement) => {
                    if let Some(spec) = self.queue.remove(index) {
                        decisions.push(self.start(spec, placement, now));
                    }
                }
                None => index += 1,
            }
        }
    }
}

impl ZoneScheduler for FirstCome {
    fn worker_up(&mut self, worker: WorkerInfo, _now: Timestamp) {
        self.map.set_up(&worker.target, true);
    }

    fn worker_down(&mut self, target: &TargetName, _now: Timestamp) {
        self.map.set_up(target, false);
    }

    fn worker_silent(&mut self, target: &TargetName, _now: Timestamp) {
        self.map.set_up(target, false);
    }

    fn set_closed(&mut self, closed: bool, _now: Timestamp) {
        self.is_closed = closed;
    }

    fn submit(&mut self, job: JobSpec, _now: Timestamp) -> Result<(), RequestError> {
        if self.map.emptied().find(job.shape, Fit::First).is_none() {
            let message = "it fits not even the empty zone";
            return Err(RequestError::not_run(ErrorKind::Impossible, message));
        }
        self.queue.push_back(job);
        Ok(())
    }

    fn cancel(&mut self, key: &RequestKey, _now: Timestamp) {
        self.queue.retain(|job| job.key != *key);
    }

    fn started(&mut self, _key: &RequestKey, _now: Timestamp) {}

    fn ended(&mut self, key: &RequestKey, _end: JobEnd, _now: Timestamp) {
        if let Some(job) = self.started.remove(key) {
            self.map.give_back(&job.placement);
        }
    }

    fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        if self.is_closed {
            return self.leave();
        }
        let mut decisions = Vec::new();
        self.start_in_turn(now, &mut decisions);
        if self.fit == Fit::Best {
            self.start_ahead(now, &mut decisions);
        }
        decisions
    }

    fn next_wakeup(&self, _now: Timestamp) -> Option<Timestamp> {
        None
    }

    fn violations(&self) -> u64 {
        0
    }
}
