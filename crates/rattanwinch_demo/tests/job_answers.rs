//! Tests that every entry returns the complete answers of a job.

use std::time::Duration;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::wait_until;
use serde_json::Value;
use serde_json::json;

/// The time limit for the jobs of this test to finish, including a takeover.
const END_BOUND: Duration = Duration::from_secs(20);

/// The size of one task's output; the outputs of a gang exceed a network buffer.
const ANSWER_BYTES: usize = 20_000;

/// Guards against answers that are truncated, in the wrong order, of another job or lost when the
/// entry that serves a status call is killed, and against a repeated submission that runs again.
#[tokio::test(flavor = "multi_thread")]
async fn every_entry_returns_the_complete_answers() {
    let size = SiteSize {
        zones: 1,
        targets: 6,
        slots: 2,
        entries: 3,
    };
    let site = ProcessSite::start("answers", size).await;
    let site = site.expect("site starts");
    let payload = |id: &str| format!("work_ms=2500 answer_bytes={ANSWER_BYTES} of={id}");
    for (id, tasks) in [("four", 4), ("two", 2)] {
        let body = gang_body(id, tasks, &payload(id));
        let accepted = site.submit_job(0, &body).await;
        assert_eq!(accepted.status, 202, "{accepted:?}");
        for entry in [1, 2] {
            let repeated = site.submit_job(entry, &body).await;
            assert_eq!(repeated.status, 202, "{repeated:?}");
        }
        let other = site.submit_job(2, &gang_body(id, tasks, "work_ms=1")).await;
        assert_eq!(other.status, 409, "{other:?}");
        assert_eq!(other.verdict(), "not_run", "{other:?}");
    }
    let running = || {
        let log = AttemptLog::read(&site.executors);
        log.start_count("four") == 4 && log.start_count("two") == 2
    };
    wait_until(END_BOUND, "both gangs run", running).await;
    let (lost, ()) = tokio::join!(site.get_job(0, "four?wait_ms=20000"), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.entries[0].signal(Signal::Kill).expect("it runs");
    });
    assert_eq!(lost, Value::Null, "the entry died before the job's end");
    for (id, tasks) in [("four", 4), ("two", 2)] {
        for entry in [1, 2] {
            let done = site.wait_for_job(entry, id, END_BOUND).await;
            let answers = done["answers"].as_array().cloned().unwrap_or_default();
            assert_eq!(answers.len(), tasks, "{done}");
            for (index, answer) in answers.iter().enumerate() {
                let mut expected = format!("done letrafa/{id}#1.{index}: {}", payload(id));
                let missing = ANSWER_BYTES - expected.len();
                expected.extend(std::iter::repeat_n('.', missing));
                assert_eq!(*answer, json!(expected), "{id}.{index} at entry {entry}");
            }
        }
        assert_eq!(AttemptLog::read(&site.executors).start_count(id), tasks);
    }
    site.assert_no_faults();
}
