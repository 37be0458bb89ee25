use std::fmt;
use std::str::FromStr;

use slog::Level;

/// The least severe records that a daemon writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(Option<Level>);

/// A text that names no level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLogLevel;

impl fmt::Display for InvalidLogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(LogLevel::EXPECTED)
    }
}

impl std::error::Error for InvalidLogLevel {}

impl LogLevel {
    /// What a settings file may say.
    pub const EXPECTED: &str = "debug, info, warning, error or off";

    /// `None` if nothing is written.
    pub(crate) const fn least(self) -> Option<Level> {
        self.0
    }
}

impl Default for LogLevel {
    /// Everything but traces.
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
