use std::fmt::Write as _;
use std::time::Duration;

/// A text table with aligned columns; the last column is not padded.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that contains only the headers.
    pub fn new(headers: &[&str]) -> Self {
        let headers = headers.iter().map(|&header| header.to_owned());
        Self {
            rows: vec![headers.collect()],
        }
    }

    /// Adds a row, which must have as many cells as there are headers.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Formats the table.
    pub fn render(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "{cell:width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Formats a duration in its two largest units, such as `2h 05m`.
pub(crate) fn format_duration(duration: Duration) -> String {
    let seconds = duration.as_secs();
    let (days, hours, minutes) = (seconds / 86_400, seconds / 3600 % 24, seconds / 60 % 60);
    match seconds {
        0..60 => format!("{}.{}s", seconds, duration.subsec_millis() / 100),
        60..3600 => format!("{minutes}m {:02}s", seconds % 60),
        3600..86_400 => format!("{hours}h {minutes:02}m"),
        _ => format!("{days}d {hours:02}h"),
    }
}

/// Formats the age of a time, both in milliseconds since the Unix epoch.
pub(crate) fn format_age(at_unix_ms: u64, now_unix_ms: u64) -> String {
    let age = Duration::from_millis(now_unix_ms.saturating_sub(at_unix_ms));
    format!("{} ago", format_duration(age))
}

/// Formats a value, or a dash for `None`.
pub(crate) fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
