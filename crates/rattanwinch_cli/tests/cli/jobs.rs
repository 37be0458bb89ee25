//! Tests of the commands for gang jobs.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rattanwinch_callers::JobBackend;
use rattanwinch_callers::Result;
use rattanwinch_types::Answer;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Explanation;
use rattanwinch_types::JobSpec;
use rattanwinch_types::JobState;
use rattanwinch_types::JobStatus;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use crate::site::Site;

/// A job back end that reports queued first, then unavailable, then finished. The job `lost`
/// finishes without answers.
#[derive(Debug, Default)]
pub struct ScriptedJobs {
    status_calls: Mutex<u32>,
}

fn in_state(key: RequestKey, state: JobState) -> JobStatus {
    JobStatus {
        key,
        zone: ZoneName::new("a").expect("a valid name"),
        attempt: 1,
        state,
    }
}

fn queued(key: RequestKey) -> JobStatus {
    let reason = Arc::from("2 blocks of 8 accelerators aren't free");
    in_state(key, JobState::Queued { reason })
}

impl JobBackend for ScriptedJobs {
    async fn submit(&self, job: JobSpec) -> Result<JobStatus> {
        if job.key.id.as_str() == "taken" {
            let message = "the id was used for another job";
            return Err(RequestError::not_run(ErrorKind::Conflict, message));
        }
        Ok(queued(job.key))
    }

    async fn status(&self, key: RequestKey, _wait: Duration) -> Result<JobStatus> {
        let mut status_calls = self.status_calls.lock().expect("no holder panics");
        *status_calls += 1;
        let lost = RequestError::may_have_run(ErrorKind::Failed, "worker t-17 was lost");
        let outcome = match (*status_calls, key.id.as_str()) {
            (1, _) => return Ok(queued(key)),
            (2, _) => {
                let message = "the decider can't be reached";
                return Err(RequestError::not_run(ErrorKind::Unavailable, message));
            }
            (_, "lost") => Err(lost),
            _ => Ok(vec![Answer::new("first"), Answer::new("second")]),
        };
        Ok(in_state(key, JobState::Finished { outcome }))
    }

    async fn cancel(&self, key: RequestKey) -> Result<JobStatus> {
        let outcome = Err(RequestError::not_run(ErrorKind::Cancelled, "cancelled"));
        Ok(in_state(key, JobState::Finished { outcome }))
    }

    async fn explain(&self, _key: RequestKey) -> Result<Vec<Explanation>> {
        Ok(vec![Explanation {
            at: Timestamp::from_millis(1_800_000_000_000),
            text: Arc::from("queued in zone a, which has the most free capacity"),
        }])
    }
}

/// Guards against a wait that ends before the job, that gives up after one failed call, or that
/// reports success for a job without answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_submitted_waited_for_and_explained() {
    let shape = [
        "--tasks",
        "2",
        "--accelerators",
        "8",
        "--run-time-s",
        "5",
        "text",
    ];
    for (id, wait_code, text) in [("j1", 0, "task 1: second"), ("lost", 1, "t-17")] {
        let site = Site::start().await;
        let submitted = site
            .command(&[&["job", "submit", "o", id], &shape[..]].concat())
            .await;
        assert_eq!(submitted.code, Some(0), "{submitted:?}");
        assert!(
            submitted.stdout.contains("waits: 2 blocks"),
            "{submitted:?}"
        );
        let waited = site
            .command(&["job", "wait", "o", id, "--limit-s", "60"])
            .await;
        assert_eq!(waited.code, Some(wait_code), "{waited:?}");
        assert!(waited.stdout.contains(text), "{waited:?}");
        let unknown = waited.stderr.contains("verdict: may have run");
        assert_eq!(unknown, wait_code == 1, "{waited:?}");
    }
    let site = Site::start().await;
    let explained = site.command(&["job", "explain", "o", "j1"]).await;
    assert!(
        explained.stdout.contains("most free capacity"),
        "{explained:?}"
    );
    let cancelled = site.command(&["job", "cancel", "o", "j1"]).await;
    assert!(
        cancelled.stdout.contains("cancelled (not_run)"),
        "{cancelled:?}"
    );
    let status = site.command(&["job", "status", "o", "j1", "--json"]).await;
    assert!(status.stdout.contains(r#""state": "queued""#), "{status:?}");
    let taken = site
        .command(&[&["job", "submit", "o", "taken"], &shape[..]].concat())
        .await;
    assert_eq!(taken.code, Some(3), "{taken:?}");
}
