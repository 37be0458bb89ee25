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
    /// The specification of the job.
    pub spec: JobSpec,
    /// The placement of the job.
    pub placement: Placement,
    /// When the job started.
    pub since: Timestamp,
    /// True if the job is being evicted.
    pub is_evicting: bool,
}

/// The baselines: first come, first served with first fit, or with backfill and best fit.
///
/// Neither supports guarantees, urgency or quarantine. In a closed zone all jobs are checkpointed
/// immediately.
#[derive(Debug)]
pub(crate) struct FirstComeScheduler {
    fit: Fit,
    map: BlockMap,
    queue: VecDeque<JobSpec>,
    started: BTreeMap<RequestKey, StartedJob>,
    is_closed: bool,
}

impl FirstComeScheduler {
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
            is_evicting: false,
        };
        self.started.insert(key.clone(), job);
        Decision::Start {
            key,
            placement,
            reason: "next in the queue".into(),
        }
    }

    fn evict_all(&mut self) -> Vec<Decision> {
        let running = self.started.values_mut().filter(|job| !job.is_evicting);
        running
            .map(|job| {
                job.is_evicting = true;
                Decision::Evict {
                    key: job.spec.key.clone(),
                    mode: StopMode::Checkpoint,
                    reason: "the zone is closed".into(),
                }
            })
            .collect()
    }

    fn start_in_order(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
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

    /// Starts later jobs that do not delay the head of the queue if declared run times are correct.
    fn backfill(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(head) = self.queue.front() else {
            return;
        };
        let head_shape = head.shape;
        let reservation = backfill::reserve(&self.map, &self.started, head_shape, now);
        let Some((free_at, future_map)) = reservation else {
            return;
        };
        let mut index = 1;
        while index < self.queue.len() {
            let spec = &self.queue[index];
            let slots = self.map.find(spec.shape, self.fit);
            let placement = slots.map(|slots| self.map.placement(&slots));
            let does_not_delay_head = |placement: &Placement| {
                let ends_in_time = now + spec.declared_run_time <= free_at;
                ends_in_time || backfill::fits_beside(&future_map, placement, head_shape)
            };
            match placement.filter(does_not_delay_head) {
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

impl ZoneScheduler for FirstComeScheduler {
    fn worker_up(&mut self, worker: WorkerInfo, _now: Timestamp) {
        self.map.set_up(&worker.target, true);
    }

    fn worker_down(&mut self, target: &TargetName, _now: Timestamp) {
        self.map.set_up(target, false);
    }

    fn worker_unresponsive(&mut self, target: &TargetName, _now: Timestamp) {
        self.map.set_up(target, false);
    }

    fn set_closed(&mut self, closed: bool, _now: Timestamp) {
        self.is_closed = closed;
    }

    fn submit(&mut self, job: JobSpec, _now: Timestamp) -> Result<(), RequestError> {
        if self
            .map
            .with_full_capacity()
            .find(job.shape, Fit::First)
            .is_none()
        {
            let message = "the job does not fit the zone even if all accelerators are free";
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
            self.map.release(&job.placement);
        }
    }

    fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        if self.is_closed {
            return self.evict_all();
        }
        let mut decisions = Vec::new();
        self.start_in_order(now, &mut decisions);
        if self.fit == Fit::Best {
            self.backfill(now, &mut decisions);
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
