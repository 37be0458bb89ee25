//! What the daemons of a site have logged.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_runtime::writer_logger;
use rattanwinch_trace::LogFile;
use rattanwinch_trace::Trace;

use crate::harness::Site;

/// What one daemon has logged.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Site {
    /// A logger whose lines the test can read.
    pub fn logger(&self, process: &str, ip: IpAddr) -> slog::Logger {
        let buffer = LogBuffer::default();
        let mut logs = self.logs.lock().expect("no holder panics");
        logs.push((format!("{process} {ip}"), buffer.clone()));
        writer_logger(process, buffer)
    }

    /// What all daemons have logged, as files.
    pub fn log_files(&self) -> Vec<LogFile> {
        let logs = self.logs.lock().expect("no holder panics");
        let files = logs.iter().flat_map(|(name, buffer)| {
            let text = buffer.0.lock().expect("no writer panics");
            LogFile::parse(name, &String::from_utf8_lossy(&text))
        });
        files.collect()
    }

    /// Waits until the logs give a cause with these words for what became of a job; logs are
    /// written a little later than what they tell of.
    pub async fn wait_for_cause(&self, id: &str, words: &[&str]) {
        let asked = Instant::now();
        loop {
            let trace = Trace::for_job(id, self.log_files());
            let cause = trace.as_ref().map(Trace::cause).unwrap_or_default();
            if words.iter().all(|word| cause.contains(word)) {
                return;
            }
            if asked.elapsed() > Duration::from_secs(3) {
                let trace = trace.map_or_else(String::new, |trace| trace.to_string());
                panic!("expected {words:?}:\n{trace}");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
