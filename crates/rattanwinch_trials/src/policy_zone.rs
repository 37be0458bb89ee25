use std::sync::Arc;

use rattanwinch_decisions::Decision;
use rattanwinch_decisions::JobEnd;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_decisions::ZonePolicy;
use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::GuaranteeStatus;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use crate::zone_scheduler::ZoneScheduler;

/// The policy under trial.
#[derive(Debug)]
pub(crate) struct PolicyZone {
    policy: ZonePolicy,
    zone: ZoneName,
    cfg: FleetConfig,
}

impl PolicyZone {
    pub(crate) fn new(zone: ZoneName, cfg: FleetConfig) -> Self {
        let mut policy = ZonePolicy::new(zone.clone());
        policy.set_config(&cfg, Timestamp::ZERO);
        Self { policy, zone, cfg }
    }
}

impl ZoneScheduler for PolicyZone {
    fn worker_up(&mut self, worker: WorkerInfo, now: Timestamp) {
        self.policy.worker_ready(worker, now);
    }

    fn worker_down(&mut self, target: &TargetName, now: Timestamp) {
        self.policy.worker_lost(target, now);
    }

    fn worker_silent(&mut self, target: &TargetName, now: Timestamp) {
        self.policy.worker_unknown(target, now);
    }

    fn set_closed(&mut self, closed: bool, now: Timestamp) {
        let mut cfg = self.cfg.clone();
        if closed {
            cfg.exceptions.push(Exception {
                id: "trial".parse().expect("a valid name"),
                effect: ExceptionEffect::CloseZone(self.zone.clone()),
                reason: "planned by the trial".into(),
                author: "trial".into(),
                at: now,
            });
        }
        self.policy.set_config(&cfg, now);
    }

    fn submit(&mut self, job: JobSpec, now: Timestamp) -> Result<(), RequestError> {
        self.policy.submit(job, now)
    }

    fn cancel(&mut self, key: &RequestKey, now: Timestamp) {
        self.policy.cancel(key, now);
    }

    fn started(&mut self, key: &RequestKey, now: Timestamp) {
        self.policy.job_started(key, now);
    }

    fn ended(&mut self, key: &RequestKey, end: JobEnd, now: Timestamp) {
        self.policy.job_ended(key, end, now);
    }

    fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        self.policy.decide(now)
    }

    fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        self.policy.next_wakeup(now)
    }

    fn wait_reason(&self, key: &RequestKey) -> Option<Arc<str>> {
        self.policy.wait_reason(key)
    }

    fn guarantee_status(&self, owner: &Organisation) -> Option<GuaranteeStatus> {
        let guarantees = self.policy.capacity().guarantees;
        guarantees
            .into_iter()
            .find(|known| known.organisation == *owner)
    }

    fn violations(&self) -> u64 {
        self.policy.violation_count()
    }
}
