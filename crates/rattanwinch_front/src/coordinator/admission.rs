use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_fleet::Refusal;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::Admission;
use rattanwinch_scheduling::JobId;
use rattanwinch_types::Timestamp;

use crate::coordinator::Coordinator;

/// How long a refused id is refused again without a new decision: the least time after which callers
/// are told to return. An attempt of the same call that was delayed on its way must not start a job
/// after its caller was told that it never runs.
const REPEATED_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Interval at which the metrics of load are exported. Sums over all runs are not worth more.
const LOAD_METRICS_INTERVAL: Duration = Duration::from_secs(2);

/// The jobs refused a short time ago, and when the metrics of load are due.
#[derive(Debug, Default)]
pub(super) struct RecentRefusals {
    refused: BTreeMap<JobId, (Timestamp, Duration)>,
    next_metrics_at: Timestamp,
}

impl Coordinator {
    /// Returns the refusal of a new job; `None` if it is accepted.
    ///
    /// A front whose leadership is not confirmed may have a successor that has accepted the job, so
    /// it refuses none; its commit fails if there is one.
    pub(super) fn refusal(&mut self, job: &AcceptedJob) -> Option<Refusal> {
        let now = self.state.clock.now();
        if !self.local_leader.is_lease_confirmed(now) {
            return None;
        }
        self.refusals
            .refused
            .retain(|_, (refused_at, _)| now.since(*refused_at) < REPEATED_REFUSAL_TIME);
        if let Some(&(_, retry_after)) = self.refusals.refused.get(&job.id) {
            return Some(Refusal::NoRoom { retry_after });
        }
        match self.scheduler.admit(job, now, self.state.clock.wall_time()) {
            Admission::Accepted => None,
            Admission::Refused { retry_after, .. } => {
                let refused = (now, retry_after);
                self.refusals.refused.insert(job.id.clone(), refused);
                Some(Refusal::NoRoom { retry_after })
            }
        }
    }

    /// Exports the expected waits and the shares of organisations as metrics.
    pub(super) fn record_load(&mut self, now: Timestamp) {
        if now < self.refusals.next_metrics_at {
            return;
        }
        self.refusals.next_metrics_at = now + LOAD_METRICS_INTERVAL;
        for (priority, wait) in self.scheduler.expected_waits() {
            metrics::gauge!("rattanwinch_expected_wait_seconds", "priority" => priority.to_string())
                .set(wait.as_secs_f64());
        }
        for (organisation, thousandths) in self.scheduler.organisation_shares() {
            metrics::gauge!("rattanwinch_share", "organisation" => organisation.to_string())
                .set(thousandths as f64 / 1000.0);
        }
    }
}
