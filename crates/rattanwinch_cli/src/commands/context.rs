use std::io::Write;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use rattanwinch_operators::WireChangeAnswer;
use rattanwinch_operators::WireChangeRequest;
use rattanwinch_operators::WireConfig;
use rattanwinch_operators::WireConfigChange;
use rattanwinch_types::Verdict;
use reqwest::Method;
use serde::Serialize;
use serde_json::Value;

use crate::Arguments;
use crate::Call;
use crate::CommandError;
use crate::EntryClient;
use crate::Result;
use crate::arguments::ChangeArguments;

/// What every command needs.
#[derive(Debug)]
pub(super) struct Context {
    pub client: EntryClient,
    pub limit: Duration,
    json: bool,
}

impl Context {
    pub fn new(arguments: &Arguments) -> Result<Self> {
        Ok(Self {
            client: EntryClient::new(&arguments.entry, arguments.settings.as_deref())?,
            limit: Duration::from_millis(arguments.timeout_ms),
            json: arguments.json,
        })
    }

    /// The configuration in the store.
    pub async fn config(&self) -> Result<WireConfig> {
        self.client.get("/v1/config", self.limit).await
    }

    /// Writes a value as JSON if it was asked for, else as text.
    pub fn show<T: Serialize>(
        &self,
        out: &mut dyn Write,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<()> {
        if self.json {
            let json = serde_json::to_string_pretty(value).map_err(std::io::Error::from)?;
            writeln!(out, "{json}")?;
        } else {
            write!(out, "{}", text(value))?;
        }
        Ok(())
    }

    /// Sends a change and writes its effect.
    pub async fn change(
        &self,
        change: WireConfigChange,
        with: ChangeArguments,
        out: &mut dyn Write,
    ) -> Result<()> {
        let based_on = match with.base {
            Some(base) => base,
            None => self.config().await?.revision,
        };
        let request = WireChangeRequest {
            id: with.change_id.unwrap_or_else(new_id),
            author: author(with.author)?,
            reason: with.reason,
            based_on,
            dry_run: with.dry_run,
            change,
        };
        let answer = self.send_change(&request).await?;
        self.show(out, &answer, |answer| change_text(&request, answer))
    }

    async fn send_change(&self, request: &WireChangeRequest) -> Result<WireChangeAnswer> {
        let body = to_body(request)?;
        let path = "/v1/config/changes";
        let sent = self
            .client
            .call(
                Method::POST,
                path,
                Some(&body),
                Call::Repeatable,
                self.limit,
            )
            .await;
        let again = format!("--change-id {} --base {}", request.id, request.based_on);
        sent.map_err(|error| with_hint(error, &again))
    }
}

/// Tells how to settle a call whose outcome is unknown: by the same command with these arguments.
pub(super) fn with_hint(error: CommandError, arguments: &str) -> CommandError {
    match error {
        CommandError::Failed(mut error) if error.verdict == Verdict::MayHaveRun.as_str() => {
            let message = error.message;
            error.message =
                format!("{message}; to settle it, give the same command with {arguments}");
            CommandError::Failed(error)
        }
        other => other,
    }
}

fn change_text(request: &WireChangeRequest, answer: &WireChangeAnswer) -> String {
    let head = if !answer.accepted {
        format!("dry run on revision {}; it would do this:", answer.revision)
    } else if answer.repeated {
        let revision = answer.revision;
        format!(
            "change {} was accepted before, as revision {revision}:",
            request.id
        )
    } else {
        format!(
            "change {} accepted as revision {}:",
            request.id, answer.revision
        )
    };
    let effects = answer.effects.iter().map(|effect| format!("  {effect}\n"));
    format!("{head}\n{}", effects.collect::<String>())
}

/// The author of a change: the argument, or the user who is logged in.
fn author(given: Option<String>) -> Result<String> {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    given.or_else(user).ok_or_else(|| {
        let message = "no author: expected --author, or the variable USER";
        CommandError::Usage(message.to_owned())
    })
}

pub(super) fn to_body<T: Serialize>(value: &T) -> Result<Value> {
    serde_json::to_value(value).map_err(|error| CommandError::Usage(error.to_string()))
}

/// Milliseconds since the Unix epoch.
pub(super) fn now_unix_ms() -> u64 {
    let since = UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A new id; ids sort by the time at which they were made.
pub(super) fn new_id() -> String {
    format!("{:013}-{:08x}", now_unix_ms(), rand::random::<u32>())
}
