use std::collections::BTreeSet;
use std::fmt;

use crate::LogFile;
use crate::LogLine;
use crate::cause::cause;
use crate::clocks::offsets;

/// The event of a store commit without a response.
pub(crate) const COMMIT_UNANSWERED: &str = "commit unanswered, sent again";

/// The event of a completed commit that had no response before.
pub(crate) const COMMIT_DONE: &str = "commit done";

/// Events that concern every job that is queued or running when they happen.
const SITE_EVENTS: [&str; 14] = [
    "elected",
    "no longer scheduling",
    "lease not renewed",
    "lease renewed again",
    "lease ended",
    "scheduler lost",
    "scheduler replaced before its lease ended",
    COMMIT_UNANSWERED,
    COMMIT_DONE,
    "operators' orders taken over",
    "operators' orders unreadable",
    "operators' orders readable again",
    "started",
    "stopping",
];

/// Events that concern the jobs with runs on their target.
const TARGET_EVENTS: [&str; 6] = [
    "target gone",
    "target quarantined",
    "target drains",
    "target forgotten",
    "target unresponsive",
    "orders unanswered",
];

/// Events within this time before the first line of a job may be related to it.
const LOOKBACK_MS: f64 = 2_500.0;

/// A line of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// When the event happened, in milliseconds of the clock of the reference file.
    pub at_ms: f64,
    /// The name of the log file.
    pub file: String,
    /// The event.
    pub line: LogLine,
}

/// The timeline of a job, merged from all logs.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The id of the job.
    pub job: String,
    /// The lines of the timeline.
    pub lines: Vec<TraceLine>,
    /// The files with shifted times, and their offsets in milliseconds.
    pub shifted: Vec<(String, f64)>,
}

impl Trace {
    /// Merges the files; `None` if none of them mentions the job.
    #[must_use]
    pub fn for_job(job: &str, mut files: Vec<LogFile>) -> Option<Self> {
        // The file with the most lines about the job has the reference clock.
        files.sort_by_key(|file| {
            let mention_count = file.lines.iter().filter(|line| line.mentions(job)).count();
            std::cmp::Reverse(mention_count)
        });
        let offsets = offsets(&files);
        let mut all = Vec::new();
        for (file, offset) in files.iter().zip(&offsets) {
            all.extend(file.lines.iter().map(|line| TraceLine {
                at_ms: line.at_ms + offset,
                file: file.name.clone(),
                line: line.clone(),
            }));
        }
        all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        let named = all.iter().filter(|line| line.line.mentions(job));
        let times: Vec<_> = named.clone().map(|line| line.at_ms).collect();
        let (start, end) = (times.first()? - LOOKBACK_MS, *times.last()?);
        let targets: BTreeSet<_> = named.flat_map(|line| targets(&line.line)).collect();
        // A commit that was unanswered at the job's time may complete long after its last line.
        let unanswered = all.iter().filter(|line| {
            line.line.event == COMMIT_UNANSWERED && line.at_ms >= start && line.at_ms <= end
        });
        let pending: BTreeSet<_> = unanswered.map(commit_id).collect();
        let is_relevant = |line: &TraceLine| {
            let event = line.line.event.as_str();
            let target = || line.line.text("target").unwrap_or_default();
            let in_time_range = line.at_ms >= start && line.at_ms <= end;
            line.line.mentions(job)
                || (in_time_range && SITE_EVENTS.contains(&event))
                || (in_time_range && TARGET_EVENTS.contains(&event) && targets.contains(&target()))
                || (event == COMMIT_DONE && pending.contains(&commit_id(line)))
        };
        let lines: Vec<_> = all.into_iter().filter(is_relevant).collect();
        let shifted = files.iter().zip(offsets);
        let shifted = shifted.filter(|(_, offset)| *offset != 0.0);
        Some(Self {
            job: job.to_owned(),
            lines,
            shifted: shifted
                .map(|(file, offset)| (file.name.clone(), offset))
                .collect(),
        })
    }

    /// Summarises the outcome of the job and its cause in a sentence.
    #[must_use]
    pub fn cause(&self) -> String {
        cause(self)
    }
}

/// Identifies the commit of a line by its file and change number.
pub(crate) fn commit_id(line: &TraceLine) -> (String, Option<String>) {
    (line.file.clone(), line.line.text("change"))
}

/// Returns the targets in a line. An unparsable list counts as empty, since lines of any process
/// are examined.
pub(crate) fn targets(line: &LogLine) -> Vec<String> {
    let listed = line.text("targets").unwrap_or_default();
    let listed: Vec<String> = serde_json::from_str(&listed).unwrap_or_default();
    listed.into_iter().chain(line.text("target")).collect()
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (file, offset) in &self.shifted {
            writeln!(f, "the clock of {file} is shifted by {offset:+.0} ms")?;
        }
        let zero = self.lines.iter().find(|line| line.line.mentions(&self.job));
        let zero = zero.map_or(0.0, |line| line.at_ms);
        for line in &self.lines {
            let at = (line.at_ms - zero) / 1000.0;
            let (event, details) = (&line.line.event, line.line.details());
            writeln!(f, "{at:>9.3} s  {:<24} {event}  {details}", line.file)?;
        }
        write!(f, "{}", self.cause())
    }
}
