//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Seconds since the start of the run.
pub fn seconds(at: Instant) -> f64 {
    let start = RECORD.get().map_or(at, |(start, _)| *start);
    at.saturating_duration_since(start).as_secs_f64()
}

pub fn write(line: &str) {
    if let Some((_, file)) = RECORD.get()
        && let Ok(mut file) = file.lock()
    {
        let _ = writeln!(file, "{:8.3} {line}", seconds(Instant::now()));
    }
}

#[macro_export]
macro_rules! record {
    ($($arg:tt)*) => { $crate::record::write(&format!($($arg)*)) };
}
