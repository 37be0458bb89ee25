use std::collections::BTreeMap;

use crate::LogLine;

/// What one process has written, or several whose lines a bench has put in order.
#[derive(Clone, Debug, PartialEq)]
pub struct LogFile {
    /// What it is called in the time line.
    pub name: String,
    /// Its events, in the order in which they were written.
    pub lines: Vec<LogLine>,
    /// Lines that are no events.
    pub other_lines: usize,
}

impl LogFile {
    /// Reads a file. Lines that a bench printed behind machines' names become one file for each
    /// machine, whose clocks agree.
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

    /// True if the lines carry a time that all machines share.
    pub(crate) fn has_common_clock(&self) -> bool {
        self.lines.iter().any(|line| line.machine.is_some())
    }
}
