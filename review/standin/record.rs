//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn at(&self, instant: Instant) -> f64 {
        instant
            .saturating_duration_since(self.started)
            .as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.at(Instant::now());
        // The record is written as far as it goes; a full disk doesn't change the result.
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}
