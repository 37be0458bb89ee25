//! Estimates the clock offsets between log files from causally ordered events.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::LogFile;
use crate::LogLine;

/// An event that is causally ordered with log lines of other processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CausalEvent {
    /// A front was elected with this epoch.
    Elected(u64),
    /// A step was placed: job, occurrence and step, run number.
    Placed(String, String, u64),
    /// The start of a run was confirmed: job, run.
    StartConfirmed(String, String),
}

/// Returns the event that a line records; lines that refer to it are later.
fn emitted_event(line: &LogLine) -> Option<CausalEvent> {
    match line.event.as_str() {
        "elected" => Some(CausalEvent::Elected(line.number("epoch")? as u64)),
        "step placed" => {
            let step = format!("{}.{}", line.text("occurrence")?, line.text("step")?);
            Some(CausalEvent::Placed(
                line.text("job")?,
                step,
                line.number("run")? as u64,
            ))
        }
        _ => None,
    }
}

/// Returns the event that must precede a line.
fn event_before(line: &LogLine) -> Option<CausalEvent> {
    match line.event.as_str() {
        "scheduler found" => Some(CausalEvent::Elected(line.number("epoch")? as u64)),
        "order carried out" => {
            let (job, step, number) = step_and_run(line)?;
            Some(CausalEvent::Placed(job, step, number))
        }
        _ => None,
    }
}

/// Returns the event that must follow a line.
fn event_after(line: &LogLine) -> Option<CausalEvent> {
    if line.event != "order carried out" || line.text("outcome")? != "Started" {
        return None;
    }
    Some(CausalEvent::StartConfirmed(
        line.text("job")?,
        line.text("run")?,
    ))
}

/// Returns the confirmed start that a line records.
fn confirmed_event(line: &LogLine) -> Option<CausalEvent> {
    let is_confirmation = matches!(line.event.as_str(), "run started" | "run ended");
    is_confirmation.then(|| {
        Some(CausalEvent::StartConfirmed(
            line.text("job")?,
            line.text("run")?,
        ))
    })?
}

/// Returns the job, the occurrence with step, and the run number in a line.
fn step_and_run(line: &LogLine) -> Option<(String, String, u64)> {
    let run = line.text("run")?;
    let (task, number) = run.split_once('#')?;
    let (step, _) = task.rsplit_once('.')?;
    Some((line.text("job")?, step.to_owned(), number.parse().ok()?))
}

/// The bounds of the clock offset of a file, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct OffsetBounds {
    min: f64,
    max: f64,
}

impl OffsetBounds {
    /// Returns zero if it is within the bounds, otherwise their midpoint, or 1 ms beyond a single
    /// bound. Contradictory bounds mean that a clock jumped; the midpoint is used as well.
    fn offset(self) -> f64 {
        if self.min <= 0.0 && self.max >= 0.0 {
            0.0
        } else if self.min.is_finite() && self.max.is_finite() {
            f64::midpoint(self.min, self.max)
        } else if self.min > 0.0 {
            self.min + 1.0
        } else {
            self.max - 1.0
        }
    }
}

/// Returns the offset to add to the times of each file, in milliseconds, to restore causal order.
///
/// The first file keeps its times, and so do files whose clocks are consistent.
pub(crate) fn offsets(files: &[LogFile]) -> Vec<f64> {
    let mut offsets: Vec<Option<f64>> = vec![None; files.len()];
    if files.iter().all(LogFile::has_common_clock) {
        return vec![0.0; files.len()];
    }
    let mut queue = VecDeque::new();
    for first in 0..files.len() {
        if offsets[first].is_some() {
            continue;
        }
        offsets[first] = Some(0.0);
        queue.push_back(first);
        while let Some(reference) = queue.pop_front() {
            let base = offsets[reference].unwrap_or(0.0);
            for other in 0..files.len() {
                if offsets[other].is_some() {
                    continue;
                }
                if let Some(offset_bounds) = offset_bounds(&files[reference], &files[other]) {
                    offsets[other] = Some(base + offset_bounds.offset());
                    queue.push_back(other);
                }
            }
        }
    }
    offsets
        .into_iter()
        .map(|offset| offset.unwrap_or(0.0))
        .collect()
}

/// Returns the bounds of the clock offset of `other` against `reference`; `None` if the files share
/// no events.
fn offset_bounds(reference: &LogFile, other: &LogFile) -> Option<OffsetBounds> {
    let mut offset_bounds = OffsetBounds {
        min: f64::NEG_INFINITY,
        max: f64::INFINITY,
    };
    let mut found = false;
    let mut add_bounds =
        |earlier: &[(CausalEvent, f64)], later: &[(CausalEvent, f64)], of_other: bool| {
            let mut first: BTreeMap<&CausalEvent, f64> = BTreeMap::new();
            for (event, at) in earlier {
                first.entry(event).or_insert(*at);
            }
            for (event, at) in later {
                let Some(earlier_at) = first.get(event) else {
                    continue;
                };
                found = true;
                if of_other {
                    // The later event is in the other file.
                    offset_bounds.min = offset_bounds.min.max(earlier_at - at);
                } else {
                    offset_bounds.max = offset_bounds.max.min(at - earlier_at);
                }
            }
        };
    let collect_events =
        |file: &LogFile, select: fn(&LogLine) -> Option<CausalEvent>| -> Vec<(CausalEvent, f64)> {
            let lines = file.lines.iter();
            lines
                .filter_map(|line| Some((select(line)?, line.at_ms)))
                .collect()
        };
    add_bounds(
        &collect_events(reference, emitted_event),
        &collect_events(other, event_before),
        true,
    );
    add_bounds(
        &collect_events(reference, event_after),
        &collect_events(other, confirmed_event),
        true,
    );
    add_bounds(
        &collect_events(other, emitted_event),
        &collect_events(reference, event_before),
        false,
    );
    add_bounds(
        &collect_events(other, event_after),
        &collect_events(reference, confirmed_event),
        false,
    );
    found.then_some(offset_bounds)
}
