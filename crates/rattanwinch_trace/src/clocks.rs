//! How far the clocks of several files differ, from events of which one must come first.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::LogFile;
use crate::LogLine;

/// What an event says that happened before, or after, an event of another process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Mark {
    /// A front was elected with this epoch.
    Elected(u64),
    /// A step was placed: job, occurrence and step, number of the run.
    Placed(String, String, u64),
    /// A run was known to have started.
    Known(String, String),
}

/// The marks that an event sets: others that name them come later.
fn sets(line: &LogLine) -> Option<Mark> {
    match line.event.as_str() {
        "elected" => Some(Mark::Elected(line.number("epoch")? as u64)),
        "step placed" => {
            let step = format!("{}.{}", line.text("occurrence")?, line.text("step")?);
            Some(Mark::Placed(
                line.text("job")?,
                step,
                line.number("run")? as u64,
            ))
        }
        _ => None,
    }
}

/// The mark that an event follows.
fn follows(line: &LogLine) -> Option<Mark> {
    match line.event.as_str() {
        "scheduler found" => Some(Mark::Elected(line.number("epoch")? as u64)),
        "order carried out" => {
            let (job, step, number) = run_of(line)?;
            Some(Mark::Placed(job, step, number))
        }
        _ => None,
    }
}

/// The mark that an event comes before.
fn precedes(line: &LogLine) -> Option<Mark> {
    if line.event != "order carried out" || line.text("outcome")? != "Started" {
        return None;
    }
    Some(Mark::Known(line.text("job")?, line.text("run")?))
}

/// What tells that a run is known to have started.
fn knows(line: &LogLine) -> Option<Mark> {
    let known = matches!(line.event.as_str(), "run started" | "run ended");
    known.then(|| Some(Mark::Known(line.text("job")?, line.text("run")?)))?
}

/// Job, occurrence with step, and number of the run that a line names.
fn run_of(line: &LogLine) -> Option<(String, String, u64)> {
    let run = line.text("run")?;
    let (task, number) = run.split_once('#')?;
    let (step, _) = task.rsplit_once('.')?;
    Some((line.text("job")?, step.to_owned(), number.parse().ok()?))
}

/// The least and the greatest that may be added to the times of one file.
#[derive(Clone, Copy, Debug)]
struct Span {
    least: f64,
    most: f64,
}

impl Span {
    /// The shift to take: none if that is allowed, else the middle of what is, or just enough.
    /// Contradictions mean a clock that jumped; the middle is then as good as any.
    fn shift(self) -> f64 {
        if self.least <= 0.0 && self.most >= 0.0 {
            0.0
        } else if self.least.is_finite() && self.most.is_finite() {
            f64::midpoint(self.least, self.most)
        } else if self.least > 0.0 {
            self.least + 1.0
        } else {
            self.most - 1.0
        }
    }
}

/// What is to be added to the times of each file, in milliseconds, so that what must come first
/// does. The first file keeps its times, and clocks that can agree are left as they are.
pub(crate) fn offsets(files: &[LogFile]) -> Vec<f64> {
    let mut offsets: Vec<Option<f64>> = vec![None; files.len()];
    if files.iter().all(LogFile::has_common_clock) {
        return vec![0.0; files.len()];
    }
    let mut settled = VecDeque::new();
    for first in 0..files.len() {
        if offsets[first].is_some() {
            continue;
        }
        offsets[first] = Some(0.0);
        settled.push_back(first);
        while let Some(known) = settled.pop_front() {
            let base = offsets[known].unwrap_or(0.0);
            for other in 0..files.len() {
                if offsets[other].is_some() {
                    continue;
                }
                if let Some(span) = span(&files[known], &files[other]) {
                    offsets[other] = Some(base + span.shift());
                    settled.push_back(other);
                }
            }
        }
    }
    offsets
        .into_iter()
        .map(|offset| offset.unwrap_or(0.0))
        .collect()
}

/// What the order of events says of the second file's clock; `None` if they share no events.
fn span(known: &LogFile, other: &LogFile) -> Option<Span> {
    let mut span = Span {
        least: f64::NEG_INFINITY,
        most: f64::INFINITY,
    };
    let mut found = false;
    let mut before = |earlier: &[(Mark, f64)], later: &[(Mark, f64)], of_other: bool| {
        let mut first: BTreeMap<&Mark, f64> = BTreeMap::new();
        for (mark, at) in earlier {
            first.entry(mark).or_insert(*at);
        }
        for (mark, at) in later {
            let Some(begun) = first.get(mark) else {
                continue;
            };
            found = true;
            if of_other {
                // The later event is of the other file.
                span.least = span.least.max(begun - at);
            } else {
                span.most = span.most.min(at - begun);
            }
        }
    };
    let marks = |file: &LogFile, of: fn(&LogLine) -> Option<Mark>| -> Vec<(Mark, f64)> {
        let lines = file.lines.iter();
        lines
            .filter_map(|line| Some((of(line)?, line.at_ms)))
            .collect()
    };
    before(&marks(known, sets), &marks(other, follows), true);
    before(&marks(known, precedes), &marks(other, knows), true);
    before(&marks(other, sets), &marks(known, follows), false);
    before(&marks(other, precedes), &marks(known, knows), false);
    found.then_some(span)
}
