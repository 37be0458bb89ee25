use std::collections::BTreeSet;
use std::fmt;

use crate::LogFile;
use crate::LogLine;
use crate::cause::cause;
use crate::clocks::offsets;

/// A write to the store got no answer.
pub(crate) const UNANSWERED_COMMIT: &str = "commit unanswered, sent again";

/// Such a write is done.
pub(crate) const DONE_COMMIT: &str = "commit done";

/// Events that concern every job of their time.
const SITE_EVENTS: [&str; 14] = [
    "elected",
    "no longer scheduling",
    "lease not renewed",
    "lease renewed again",
    "lease ended",
    "scheduler lost",
    "scheduler replaced before its lease ended",
    UNANSWERED_COMMIT,
    DONE_COMMIT,
    "operators' orders taken over",
    "operators' orders unreadable",
    "operators' orders readable again",
    "started",
    "stopping",
];

/// Events that concern a job if it has runs on their target.
const TARGET_EVENTS: [&str; 6] = [
    "target gone",
    "target quarantined",
    "target drains",
    "target forgotten",
    "target unresponsive",
    "orders unanswered",
];

/// What happened so long before a job's first line may have to do with it.
const BEFORE_MS: f64 = 2_500.0;

/// One line of the time line.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// When, in milliseconds of the clock of the first file that tells of the job.
    pub at_ms: f64,
    /// The file that it is from.
    pub file: String,
    /// The event.
    pub line: LogLine,
}

/// Everything that the logs tell of one job, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The job's id.
    pub job: String,
    /// Its time line.
    pub lines: Vec<TraceLine>,
    /// Files whose times were shifted, and by how many milliseconds.
    pub shifted: Vec<(String, f64)>,
}

impl Trace {
    /// Joins the files; `None` if none of them names the job.
    #[must_use]
    pub fn for_job(job: &str, mut files: Vec<LogFile>) -> Option<Self> {
        // The file that tells most of the job is the one whose clock counts.
        files.sort_by_key(|file| {
            let told = file.lines.iter().filter(|line| line.names(job)).count();
            std::cmp::Reverse(told)
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
        let named = all.iter().filter(|line| line.line.names(job));
        let times: Vec<_> = named.clone().map(|line| line.at_ms).collect();
        let (first, last) = (times.first()? - BEFORE_MS, *times.last()?);
        let targets: BTreeSet<_> = named.flat_map(|line| targets(&line.line)).collect();
        // A write that was unanswered at the job's time may be done long after its last line.
        let unanswered = all.iter().filter(|line| {
            line.line.event == UNANSWERED_COMMIT && line.at_ms >= first && line.at_ms <= last
        });
        let pending: BTreeSet<_> = unanswered.map(commit).collect();
        let concerns = |line: &TraceLine| {
            let event = line.line.event.as_str();
            let target = || line.line.text("target").unwrap_or_default();
            let around = line.at_ms >= first && line.at_ms <= last;
            line.line.names(job)
                || (around && SITE_EVENTS.contains(&event))
                || (around && TARGET_EVENTS.contains(&event) && targets.contains(&target()))
                || (event == DONE_COMMIT && pending.contains(&commit(line)))
        };
        let lines: Vec<_> = all.into_iter().filter(concerns).collect();
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

    /// What became of the job and why, in a sentence.
    #[must_use]
    pub fn cause(&self) -> String {
        cause(self)
    }
}

/// The process and the number of the write that a line tells of.
pub(crate) fn commit(line: &TraceLine) -> (String, Option<String>) {
    (line.file.clone(), line.line.text("change"))
}

/// The targets that a line names; a list that can't be read names none, since lines of any
/// process are looked at.
pub(crate) fn targets(line: &LogLine) -> Vec<String> {
    let listed = line.text("targets").unwrap_or_default();
    let listed: Vec<String> = serde_json::from_str(&listed).unwrap_or_default();
    listed.into_iter().chain(line.text("target")).collect()
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (file, offset) in &self.shifted {
            writeln!(f, "the clock of {file} is set {offset:+.0} ms")?;
        }
        let zero = self.lines.iter().find(|line| line.line.names(&self.job));
        let zero = zero.map_or(0.0, |line| line.at_ms);
        for line in &self.lines {
            let at = (line.at_ms - zero) / 1000.0;
            let (event, details) = (&line.line.event, line.line.details());
            writeln!(f, "{at:>9.3} s  {:<24} {event}  {details}", line.file)?;
        }
        write!(f, "{}", self.cause())
    }
}
