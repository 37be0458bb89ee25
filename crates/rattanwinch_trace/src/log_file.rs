use std::collections::BTreeMap;

use crate::LogLine;

/// The log of a process, or of several processes of one machine as merged by a bench.
#[derive(Clone, Debug, PartialEq)]
pub struct LogFile {
    /// The name of the file in the timeline.
    pub name: String,
    /// The events, in the order in which they were written.
    pub lines: Vec<LogLine>,
    /// The number of lines that are not events.
    pub other_lines: usize,
}

impl LogFile {
    /// Parses a log file. Lines with machine names, as printed by a bench, are split into one file
    /// per machine, with a common clock.
    #[must_use]
    pub fn parse(name: &str, text: &str) -> Vec<Self> {
        let mut machines: BTreeMap<Option<String>, Self> = BTreeMap::new();
        let mut other_lines = 0;
        for text in text.lines() {
            let Some(line) = LogLine::parse(text) else {
                other_lines += usize::from(!text.trim().is_empty());
                continue;
            };
            let file = machines
                .entry(line.machine.clone())
                .or_insert_with(|| Self {
                    name: line.machine.clone().unwrap_or_else(|| name.to_owned()),
                    lines: Vec::new(),
                    other_lines: 0,
                });
            file.lines.push(line);
        }
        let mut files: Vec<_> = machines.into_values().collect();
        if let Some(first) = files.first_mut() {
            first.other_lines = other_lines;
        }
        files
    }

    /// Returns true if the times of the lines come from a clock shared by all machines.
    pub(crate) fn has_common_clock(&self) -> bool {
        self.lines.iter().any(|line| line.machine.is_some())
    }
}
