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
    /// What callers may be told of a job.
    pub(crate) struct PublishedJob {
        pub queue: QueueName,
        pub organisation: Organisation,
        pub state: JobState,
    }
}

/// The durable states of all jobs. Any thread reads it; only the coordinator replaces it.
#[derive(Debug)]
pub(crate) struct JobBoard {
    jobs: ArcSwap<HashMap<JobId, PublishedJob>>,
}

impl JobBoard {
    pub(crate) fn new(jobs: impl IntoIterator<Item = (JobId, PublishedJob)>) -> Self {
        Self {
            jobs: ArcSwap::from_pointee(jobs.into_iter().collect()),
        }
    }

    pub(crate) fn get(&self, id: &JobId) -> Option<PublishedJob> {
        self.jobs.load().get(id).cloned()
    }

    /// How many jobs of a queue have no task that has started.
    pub(crate) fn queued(&self, queue: &QueueName) -> u64 {
        let jobs = self.jobs.load();
        let queued = jobs
            .values()
            .filter(|job| job.queue == *queue && job.state == JobState::Queued);
        queued.count() as u64
    }

    /// Publishes changed jobs and removes forgotten ones.
    pub(crate) fn publish(&self, changed: BTreeMap<JobId, PublishedJob>, forgotten: &[JobId]) {
        let mut jobs = HashMap::clone(&self.jobs.load());
        jobs.extend(changed);
        for id in forgotten {
            jobs.remove(id);
        }
        self.jobs.store(Arc::new(jobs));
    }
}
