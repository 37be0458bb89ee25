use std::io;
use std::sync::Mutex;

use slog::Drain as _;
use slog::FnValue;
use slog::LevelFilter;
use slog::Logger;
use slog::PushFnValue;
use slog::o;

use crate::LogLevel;
use crate::event_limits::EventLimits;

/// Capacity of the log writer's queue; records beyond it are dropped and counted by `slog-async`.
const RECORD_QUEUE_CAPACITY: usize = 4096;

/// Creates a logger that writes one JSON object per line to standard error.
///
/// Each line has `ts_unix_ms`, `level`, `msg` and `process`, then the fields of the record. A
/// separate thread writes the lines; records beyond its queue are dropped and counted. Per event
/// and second, 500 records are written, or 2,000 if they state an outcome; a line `log records over
/// the rate limit dropped` counts the others by event.
pub fn json_logger(process: &str) -> Logger {
    logger(process, io::stderr())
}

/// As [`json_logger`], but to standard output, where the users' platform collects logs, and without
/// records below `level`.
pub fn stdout_logger(process: &str, level: LogLevel) -> Logger {
    let Some(min_severity) = level.min_severity() else {
        return discard_logger();
    };
    let all = logger(process, io::stdout());
    Logger::root(LevelFilter::new(all, min_severity).fuse(), o!())
}

/// As [`json_logger`], but to any writer, for tests that read the lines.
pub fn writer_logger(process: &str, out: impl io::Write + Send + 'static) -> Logger {
    logger(process, out)
}

fn logger(process: &str, out: impl io::Write + Send + 'static) -> Logger {
    let drain = slog_json::Json::new(out)
        .add_key_value(o!(
            "ts_unix_ms" => FnValue(|_| {
                let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
                u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
            }),
            "level" => FnValue(|record| record.level().as_str()),
            "msg" => PushFnValue(|record, ser| ser.emit(record.msg())),
        ))
        .build();
    let drain = Mutex::new(drain).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(RECORD_QUEUE_CAPACITY)
        .build()
        .fuse();
    let drain = EventLimits::new(drain).fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}

/// Creates a logger that drops all records, for tests.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
