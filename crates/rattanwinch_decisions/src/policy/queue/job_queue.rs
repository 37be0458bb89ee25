use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;

use crate::policy::queue::job::Job;
use crate::policy::queue::job::Queued;
use crate::policy::workers::JobId;

/// Maximum delay of a job in the queue order because of a long expected run time. Every job is thus
/// ordered before all jobs that are submitted this much later.
const MAX_QUEUE_SETBACK: Duration = Duration::from_secs(3600);

/// Urgent jobs are ordered before normal jobs that were submitted up to this much earlier. The
/// bound keeps a steady flow of urgent jobs from starving normal ones.
const URGENT_QUEUE_LEAD: Duration = Duration::from_secs(86_400);

rattanwinch_types::value! { copy
    /// Position of a job in the queue: the time that jobs are ordered by, then the job's number.
    pub(crate) struct OrderKey {
        order_time_ms: u64,
        /// The job.
        pub id: JobId,
    }
}

/// Queued jobs in the order in which they are tried.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobQueue {
    jobs: BTreeMap<OrderKey, Job<Queued>>,
    keys: BTreeMap<JobId, OrderKey>,
    deadlines: BTreeSet<(Timestamp, JobId)>,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl JobQueue {
    /// Adds the job. Short jobs are ordered before long ones submitted at the same time. The
    /// setback grows with the weight of completion time and depends only on known values, so the
    /// order doesn't change while jobs wait.
    pub(crate) fn push(&mut self, job: Job<Queued>, expected: Duration, weight_percent: u8) {
        let weighted = expected * u32::from(weight_percent.min(100)) / 100;
        let setback = millis(weighted.min(MAX_QUEUE_SETBACK));
        let lead = match job.spec.urgency {
            Urgency::Urgent => 0,
            Urgency::Normal => millis(URGENT_QUEUE_LEAD) + setback,
        };
        let key = OrderKey {
            order_time_ms: job.queued_at.as_millis().saturating_add(lead),
            id: job.id,
        };
        self.keys.insert(job.id, key);
        self.deadlines.insert((job.spec.deadline, job.id));
        self.jobs.insert(key, job);
    }

    pub(crate) fn remove(&mut self, id: JobId) -> Option<Job<Queued>> {
        let key = self.keys.remove(&id)?;
        let job = self.jobs.remove(&key)?;
        self.deadlines.remove(&(job.spec.deadline, id));
        Some(job)
    }

    pub(crate) fn get(&self, id: JobId) -> Option<&Job<Queued>> {
        self.jobs.get(self.keys.get(&id)?)
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job<Queued>> {
        self.jobs.get_mut(self.keys.get(&id)?)
    }

    /// Whether the first job is tried before the second, if both are queued.
    pub(crate) fn comes_before(&self, first: JobId, second: JobId) -> bool {
        let keys = (self.keys.get(&first), self.keys.get(&second));
        matches!(keys, (Some(first), Some(second)) if first < second)
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Job ids in the order in which the jobs are tried.
    pub(crate) fn ids(&self) -> Vec<JobId> {
        self.jobs.keys().map(|key| key.id).collect()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Job<Queued>> {
        self.jobs.values_mut()
    }

    /// Jobs whose deadline has passed.
    pub(crate) fn expired(&self, now: Timestamp) -> Vec<JobId> {
        let passed = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        passed.map(|(_, id)| *id).collect()
    }

    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(at, _)| *at)
    }
}
