//! Rate limits of log events.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_runtime::OUTCOME_TAG;
use rattanwinch_runtime::writer_logger;
use serde_json::Value;
use slog::info;
use slog::warn;

/// The documented limits, in records of one event per second.
const MAX_RECORDS_PER_SECOND: u64 = 500;
const MAX_OUTCOMES_PER_SECOND: u64 = 2000;

#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogLines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogLines {
    fn read(&self) -> Vec<Value> {
        let text = self.0.lock().expect("no writer panics").clone();
        let text = String::from_utf8(text).expect("JSON is UTF-8");
        let lines = text.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("each line is JSON"))
            .collect()
    }
}

fn count_by_event(lines: &[Value]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for line in lines {
        let event = line["msg"].as_str().expect("each line has an event");
        *counts.entry(event.to_owned()).or_default() += 1;
    }
    counts
}

/// Guards against a frequent event that filled the writer's queue, which then dropped the outcomes
/// of jobs, and against dropped records that weren't counted by event.
#[test]
fn frequent_event_drops_no_outcome() {
    let lines = LogLines::default();
    let log = writer_logger("test", lines.clone());
    let started_at = Instant::now();
    let (frequent_count, outcome_count) = (20_000_u64, 1_000_u64);
    for number in 0..frequent_count {
        info!(log, "run started"; "number" => number);
        if number < outcome_count {
            info!(log, #OUTCOME_TAG, "job ended"; "number" => number);
        }
    }
    warn!(log, "target gone");
    let seconds = started_at.elapsed().as_secs() + 1;
    // Dropped records are reported with the first record of a later second.
    std::thread::sleep(Duration::from_millis(1_100));
    info!(log, "stopped");
    drop(log);
    let lines = lines.read();
    let counts = count_by_event(&lines);
    assert_eq!(counts["job ended"], outcome_count);
    assert_eq!((counts["target gone"], counts["stopped"]), (1, 1));
    assert!(
        (MAX_RECORDS_PER_SECOND..=MAX_RECORDS_PER_SECOND * (seconds + 1))
            .contains(&counts["run started"]),
        "{counts:?} in {seconds} s"
    );
    let summarised = lines
        .iter()
        .filter(|line| line["msg"] == "log records over the rate limit dropped");
    let summarised: u64 = summarised
        .map(|line| {
            assert_eq!(line["level"], "WARNING");
            let events = line["events"].as_str().expect("a list of events");
            assert!(events.starts_with("run started="), "{events}");
            line["records"].as_u64().expect("a count")
        })
        .sum();
    assert_eq!(summarised, frequent_count - counts["run started"]);
}

/// Outcomes are limited too, or they would take a front's processor time when it refuses all calls.
#[test]
fn outcomes_are_bounded_too() {
    let lines = LogLines::default();
    let log = writer_logger("test", lines.clone());
    let started_at = Instant::now();
    for number in 0..3 * MAX_OUTCOMES_PER_SECOND {
        info!(log, #OUTCOME_TAG, "call refused"; "number" => number);
    }
    let seconds = started_at.elapsed().as_secs() + 1;
    drop(log);
    let written = count_by_event(&lines.read())["call refused"];
    assert!(
        (MAX_OUTCOMES_PER_SECOND..=MAX_OUTCOMES_PER_SECOND * (seconds + 1)).contains(&written),
        "{written} in {seconds} s"
    );
}
