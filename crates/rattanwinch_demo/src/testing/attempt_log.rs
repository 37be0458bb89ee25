use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::TaskRun;

/// The runs of gang tasks at all executors, by job and attempt.
#[derive(Clone, Debug, Default)]
pub struct AttemptLog(BTreeMap<String, BTreeMap<u32, Vec<TaskRun>>>);

impl AttemptLog {
    /// Collects the runs so far from the executors.
    #[must_use]
    pub fn read(executors: &[StandinExecutor]) -> Self {
        let mut log = Self::default();
        for run in executors.iter().flat_map(StandinExecutor::task_runs) {
            let attempt = run.member.attempt.clone();
            let job = log.0.entry(attempt.key.id.to_string()).or_default();
            job.entry(attempt.attempt).or_default().push(run);
        }
        log
    }

    /// Returns the runs of a job by attempt number.
    #[must_use]
    pub fn attempts(&self, id: &str) -> BTreeMap<u32, Vec<TaskRun>> {
        self.0.get(id).cloned().unwrap_or_default()
    }

    /// Returns the number of task starts of a job over all attempts.
    #[must_use]
    pub fn start_count(&self, id: &str) -> usize {
        self.attempts(id).values().map(Vec::len).sum()
    }

    /// Checks that no member ran twice, that each attempt began after the previous one had ended,
    /// and that an attempt that did not start all `tasks` ended within `partial_bound` of its first
    /// start.
    ///
    /// # Panics
    ///
    /// If one of these conditions is violated.
    pub fn check(&self, id: &str, tasks: usize, partial_bound: Duration) {
        let mut free_at: Option<Instant> = None;
        let now = Instant::now();
        for (attempt, runs) in self.attempts(id) {
            let mut indexes: Vec<u16> = runs.iter().map(|run| run.member.index).collect();
            indexes.sort_unstable();
            indexes.dedup();
            assert_eq!(
                indexes.len(),
                runs.len(),
                "{id}#{attempt}: a task ran twice"
            );
            let first = runs.iter().map(|run| run.started_at).min();
            let first = first.expect("an attempt in the log has runs");
            assert!(
                free_at.is_none_or(|at| at <= first),
                "{id}#{attempt} began {:?} before the previous attempt had ended",
                free_at.map(|at| at - first)
            );
            let last = runs.iter().map(|run| run.ended_at.unwrap_or(now)).max();
            let last = last.expect("an attempt in the log has runs");
            assert!(
                runs.len() == tasks || last - first <= partial_bound,
                "{id}#{attempt}: {} of {tasks} tasks ran for {:?}",
                runs.len(),
                last - first
            );
            free_at = Some(last);
        }
    }
}
