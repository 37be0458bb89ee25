//! What is left out of the log when events come in masses.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_runtime::OUTCOME;
use rattanwinch_runtime::writer_logger;
use serde_json::Value;
use slog::info;
use slog::warn;

/// The stated limits, in records of one event a second.
const MOST_EACH: u64 = 500;
const MOST_OUTCOMES: u64 = 2000;

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn read(&self) -> Vec<Value> {
        let text = self.0.lock().expect("no writer panics").clone();
        let text = String::from_utf8(text).expect("JSON is UTF-8");
        let lines = text.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("each line is JSON"))
            .collect()
    }
}

fn by_event(lines: &[Value]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for line in lines {
        let event = line["msg"].as_str().expect("each line has an event");
        *counts.entry(event.to_owned()).or_default() += 1;
    }
    counts
}

/// An event that came in masses filled the writer's queue, which then dropped the outcomes of
/// jobs; and what was left out was not told by event.
#[test]
fn masses_of_one_event_leave_out_no_outcome() {
    let lines = Lines::default();
    let log = writer_logger("test", lines.clone());
    let begun = Instant::now();
    let (masses, outcomes) = (20_000_u64, 1_000_u64);
    for number in 0..masses {
        info!(log, "run started"; "number" => number);
        if number < outcomes {
            info!(log, #OUTCOME, "job ended"; "number" => number);
        }
    }
    warn!(log, "target gone");
    let seconds = begun.elapsed().as_secs() + 1;
    // What was left out is told with the first record of a later second.
    std::thread::sleep(Duration::from_millis(1_100));
    info!(log, "stopped");
    drop(log);
    let lines = lines.read();
    let counts = by_event(&lines);
    assert_eq!(counts["job ended"], outcomes);
    assert_eq!((counts["target gone"], counts["stopped"]), (1, 1));
    assert!(
        (MOST_EACH..=MOST_EACH * (seconds + 1)).contains(&counts["run started"]),
        "{counts:?} in {seconds} s"
    );
    let told = lines
        .iter()
        .filter(|line| line["msg"] == "records left out");
    let told: u64 = told
        .map(|line| {
            assert_eq!(line["level"], "WARNING");
            let events = line["events"].as_str().expect("a list of events");
            assert!(events.starts_with("run started="), "{events}");
            line["records"].as_u64().expect("a count")
        })
        .sum();
    assert_eq!(told, masses - counts["run started"]);
}

/// Outcomes without a bound would take a front's processor time when all it does is refuse.
#[test]
fn outcomes_are_bounded_too() {
    let lines = Lines::default();
    let log = writer_logger("test", lines.clone());
    let begun = Instant::now();
    for number in 0..3 * MOST_OUTCOMES {
        info!(log, #OUTCOME, "call refused"; "number" => number);
    }
    let seconds = begun.elapsed().as_secs() + 1;
    drop(log);
    let written = by_event(&lines.read())["call refused"];
    assert!(
        (MOST_OUTCOMES..=MOST_OUTCOMES * (seconds + 1)).contains(&written),
        "{written} in {seconds} s"
    );
}
