use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use imbl::HashMap;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::QueueName;
use rattanwinch_types::Organisation;
use rattanwinch_types::value;

value! {
    /// The part of a job's state that callers can query.
    pub(crate) struct PublishedJob {
        pub queue: QueueName,
        pub organisation: Organisation,
        pub state: JobState,
    }
}

/// The states of all jobs: durable ones, but for the first start, which is published at once. Any
/// thread may read them; only the coordinator replaces them.
#[derive(Debug)]
pub(crate) struct PublishedJobs {
    jobs: ArcSwap<HashMap<JobId, PublishedJob>>,
}

impl PublishedJobs {
    pub(crate) fn new(jobs: impl IntoIterator<Item = (JobId, PublishedJob)>) -> Self {
        Self {
            jobs: ArcSwap::from_pointee(jobs.into_iter().collect()),
        }
    }

    pub(crate) fn get(&self, id: &JobId) -> Option<PublishedJob> {
        self.jobs.load().get(id).cloned()
    }

    /// Number of a queue's jobs of which no task has started.
    pub(crate) fn queued(&self, queue: &QueueName) -> u64 {
        let jobs = self.jobs.load();
        let queued = jobs
            .values()
            .filter(|job| job.queue == *queue && job.state == JobState::Queued);
        queued.count() as u64
    }

    /// Publishes that the first task of a job has started.
    pub(crate) fn publish_start(&self, id: &JobId) {
        let Some(mut job) = self.get(id).filter(|job| job.state == JobState::Queued) else {
            return;
        };
        job.state = JobState::Running;
        self.publish(BTreeMap::from([(id.clone(), job)]), &[]);
    }

    /// Publishes changed jobs and removes expired ones.
    pub(crate) fn publish(&self, changed: BTreeMap<JobId, PublishedJob>, removed_jobs: &[JobId]) {
        let mut jobs = HashMap::clone(&self.jobs.load());
        jobs.extend(changed);
        for id in removed_jobs {
            jobs.remove(id);
        }
        self.jobs.store(Arc::new(jobs));
    }
}
