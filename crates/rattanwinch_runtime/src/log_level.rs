use std::fmt;
use std::str::FromStr;

use slog::Level;

/// The lowest severity of log records that a daemon writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(Option<Level>);

/// Error for a text that isn't a log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLogLevel;

impl fmt::Display for InvalidLogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(LogLevel::EXPECTED)
    }
}

impl std::error::Error for InvalidLogLevel {}

impl LogLevel {
    /// The accepted texts.
    pub const EXPECTED: &str = "debug, info, warning, error or off";

    /// The lowest severity written; `None` if logging is off.
    pub(crate) const fn min_severity(self) -> Option<Level> {
        self.0
    }
}

impl Default for LogLevel {
    /// All records except traces.
    fn default() -> Self {
        Self(Some(Level::Debug))
    }
}

impl FromStr for LogLevel {
    type Err = InvalidLogLevel;

    fn from_str(text: &str) -> Result<Self, InvalidLogLevel> {
        match text {
            "debug" => Ok(Self(Some(Level::Debug))),
            "info" => Ok(Self(Some(Level::Info))),
            "warning" => Ok(Self(Some(Level::Warning))),
            "error" => Ok(Self(Some(Level::Error))),
            "off" => Ok(Self(None)),
            _ => Err(InvalidLogLevel),
        }
    }
}
