use std::fmt;
use std::io;

use rattanwinch_http_errors::WireError;
use rattanwinch_operators::WireStaleChange;
use rattanwinch_runtime::SettingsErrors;
use rattanwinch_types::Verdict;

/// The result of a command.
pub type Result<T> = std::result::Result<T, CommandError>;

/// The error of a command.
#[derive(Debug)]
pub enum CommandError {
    /// The command line or the settings are invalid; nothing was sent.
    Usage(String),
    /// The call failed or no entry answered; the verdict says whether it may have run.
    Failed(WireError),
    /// The configuration has changed since the base revision of a change.
    Stale(Box<WireStaleChange>),
    /// Writing the result failed, for example because of a closed pipe.
    Output(io::Error),
}

impl CommandError {
    /// Returns the exit code: 1 for a failure, 2 for invalid usage or settings, 3 for a conflict.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Failed(error) if error.kind == "conflict" => 3,
            Self::Failed(_) | Self::Output(_) => 1,
            Self::Stale(_) => 3,
        }
    }

    /// Creates a failure that the command detected itself.
    pub(crate) fn failed(verdict: Verdict, kind: &str, message: impl Into<String>) -> Self {
        Self::Failed(WireError {
            verdict: verdict.as_str().to_owned(),
            kind: kind.to_owned(),
            message: message.into(),
        })
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) => write!(f, "error: {message}"),
            Self::Failed(error) => write_error(f, error),
            Self::Stale(stale) => write_stale(f, stale),
            Self::Output(error) => write!(f, "error: cannot write the result: {error}"),
        }
    }
}

fn write_error(f: &mut fmt::Formatter<'_>, error: &WireError) -> fmt::Result {
    let verdict = Verdict::parse(&error.verdict);
    let verdict = verdict.map_or_else(|| error.verdict.clone(), |known| known.to_string());
    write!(
        f,
        "error: {} ({})\nverdict: {verdict}",
        error.message, error.kind
    )
}

fn write_stale(f: &mut fmt::Formatter<'_>, stale: &WireStaleChange) -> fmt::Result {
    write_error(f, &stale.error)?;
    let heading = if stale.complete {
        "changed since then:"
    } else {
        "changed since then (the latest; `config history` has the others):"
    };
    write!(f, "\n{heading}")?;
    for record in &stale.changed_since {
        let (author, reason) = (&record.author, &record.reason);
        write!(f, "\n  {} by {author}: {reason}", record.id)?;
        for effect in &record.effects {
            write!(f, "\n    {effect}")?;
        }
    }
    Ok(())
}

impl std::error::Error for CommandError {}

impl From<io::Error> for CommandError {
    fn from(error: io::Error) -> Self {
        Self::Output(error)
    }
}

impl From<SettingsErrors> for CommandError {
    fn from(errors: SettingsErrors) -> Self {
        Self::Usage(errors.to_string())
    }
}
