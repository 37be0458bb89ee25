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
use crate::CommandError;
use crate::EntryClient;
use crate::Idempotence;
use crate::Result;
use crate::arguments::ChangeArguments;

/// The client and output options that all commands share.
#[derive(Debug)]
pub(super) struct Context {
    pub client: EntryClient,
    pub timeout: Duration,
    json: bool,
}

impl Context {
    pub fn new(arguments: &Arguments) -> Result<Self> {
        Ok(Self {
            client: EntryClient::new(&arguments.entry, arguments.settings.as_deref())?,
            timeout: Duration::from_millis(arguments.timeout_ms),
            json: arguments.json,
        })
    }

    /// Reads the current configuration.
    pub async fn config(&self) -> Result<WireConfig> {
        self.client.get("/v1/config", self.timeout).await
    }

    /// Writes a value as JSON with `--json`, else as text.
    pub fn write_result<T: Serialize>(
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

    /// Sends a configuration change and writes its effects.
    pub async fn change(
        &self,
        change: WireConfigChange,
        arguments: ChangeArguments,
        out: &mut dyn Write,
    ) -> Result<()> {
        let based_on = match arguments.base {
            Some(base) => base,
            None => self.config().await?.revision,
        };
        let request = WireChangeRequest {
            id: arguments.change_id.unwrap_or_else(new_id),
            author: author(arguments.author)?,
            reason: arguments.reason,
            based_on,
            dry_run: arguments.dry_run,
            change,
        };
        let answer = self.send_change(&request).await?;
        self.write_result(out, &answer, |answer| change_text(&request, answer))
    }

    async fn send_change(&self, request: &WireChangeRequest) -> Result<WireChangeAnswer> {
        let body = to_body(request)?;
        let path = "/v1/config/changes";
        let result = self
            .client
            .call(
                Method::POST,
                path,
                Some(&body),
                Idempotence::Idempotent,
                self.timeout,
            )
            .await;
        let retry_arguments = format!("--change-id {} --base {}", request.id, request.based_on);
        result.map_err(|error| with_retry_hint(error, &retry_arguments))
    }
}

/// Adds to an error with an unknown outcome the arguments with which the command can be retried.
pub(super) fn with_retry_hint(error: CommandError, arguments: &str) -> CommandError {
    match error {
        CommandError::Failed(mut error) if error.verdict == Verdict::MayHaveRun.as_str() => {
            let message = error.message;
            error.message = format!(
                "{message}; to find out the outcome, retry the same command with {arguments}"
            );
            CommandError::Failed(error)
        }
        other => other,
    }
}

fn change_text(request: &WireChangeRequest, answer: &WireChangeAnswer) -> String {
    let head = if !answer.accepted {
        format!(
            "dry run on revision {}; effects of the change:",
            answer.revision
        )
    } else if answer.repeated {
        let revision = answer.revision;
        format!(
            "change {} was already accepted before as revision {revision}:",
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

/// Returns the author of a change: the argument, or the logged-in user.
fn author(argument: Option<String>) -> Result<String> {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    argument.or_else(user).ok_or_else(|| {
        let message = "no author: expected --author, or the environment variable USER";
        CommandError::Usage(message.to_owned())
    })
}

pub(super) fn to_body<T: Serialize>(value: &T) -> Result<Value> {
    serde_json::to_value(value).map_err(|error| CommandError::Usage(error.to_string()))
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(super) fn now_unix_ms() -> u64 {
    let elapsed = UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Generates an id; ids sort by creation time.
pub(super) fn new_id() -> String {
    format!("{:013}-{:08x}", now_unix_ms(), rand::random::<u32>())
}
