use std::path::Path;
use std::time::Duration;

use rattanwinch_http_errors::WireError;
use rattanwinch_http_errors::WireErrorBody;
use rattanwinch_operators::WireStaleChange;
use rattanwinch_runtime::SettingsFile;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Verdict;
use reqwest::Client;
use reqwest::Method;
use reqwest::StatusCode;
use reqwest::Url;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::CommandError;
use crate::Result;

rattanwinch_types::value! { copy
    /// Whether a call may be sent more than once.
    pub enum Idempotence {
        /// The call only reads.
        ReadOnly,
        /// The call has an id by which the entry detects duplicates.
        Idempotent,
        /// A duplicate could run twice, so the call is retried only if it was not run.
        NonIdempotent,
    }
}

/// Client of the entries' HTTP API.
#[derive(Clone, Debug)]
pub struct EntryClient {
    entries: Vec<Url>,
    http: Client,
}

/// The outcome of a call to one entry.
enum AttemptOutcome {
    Success(Vec<u8>),
    /// The call failed, and another entry would not succeed or must not be tried.
    Failure(CommandError),
    /// The call failed, and another entry may be tried.
    TryNext(WireError),
}

impl EntryClient {
    /// Creates a client from the entries' URLs, or from `[client] entries` of an INI file if
    /// there are none.
    ///
    /// # Errors
    ///
    /// [`CommandError::Usage`] if there is no entry or a URL is not a valid `http` URL.
    pub fn new(urls: &[String], settings: Option<&Path>) -> Result<Self> {
        let urls = match settings {
            Some(path) if urls.is_empty() => read_entries(path)?,
            _ => urls.to_vec(),
        };
        if urls.is_empty() {
            let message = "no entry: expected --entry URL, or --settings FILE with `entries` in \
                           the section [client]";
            return Err(CommandError::Usage(message.to_owned()));
        }
        let entries = urls.iter().map(|text| parse_url(text));
        Ok(Self {
            entries: entries.collect::<Result<_>>()?,
            http: Client::new(),
        })
    }

    /// Sends a GET request and decodes the response.
    ///
    /// # Errors
    ///
    /// [`CommandError::Failed`] if no entry returns the value.
    pub async fn get<T: DeserializeOwned>(&self, path: &str, timeout: Duration) -> Result<T> {
        self.call(Method::GET, path, None, Idempotence::ReadOnly, timeout)
            .await
    }

    /// Sends a call to the entries in order until one succeeds or fails finally. `timeout` is the
    /// time-out for each entry.
    ///
    /// # Errors
    ///
    /// [`CommandError::Failed`] with the worst verdict of all attempts, or
    /// [`CommandError::Stale`].
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        idempotence: Idempotence,
        timeout: Duration,
    ) -> Result<T> {
        let mut worst = Verdict::NotRun;
        let mut messages = Vec::new();
        for entry in &self.entries {
            let request = self.http.request(method.clone(), join_url(entry, path));
            let request = request.timeout(timeout);
            let request = match body {
                Some(body) => request.json(body),
                None => request,
            };
            match send_attempt(request, idempotence).await {
                AttemptOutcome::Success(bytes) => return decode(&bytes, idempotence),
                AttemptOutcome::Failure(error) => return Err(with_worst_verdict(error, worst)),
                AttemptOutcome::TryNext(error) => {
                    worst = worst.max(parse_verdict(&error));
                    messages.push(format!("{entry}: {}", error.message));
                }
            }
        }
        let kind = ErrorKind::Unavailable.as_str();
        Err(CommandError::failed(worst, kind, messages.join("; ")))
    }
}

/// Replaces the verdict of an error if an earlier attempt had a worse one, because that attempt
/// may have run.
fn with_worst_verdict(error: CommandError, worst: Verdict) -> CommandError {
    match error {
        CommandError::Failed(mut error) => {
            let verdict = parse_verdict(&error).max(worst);
            error.verdict = verdict.as_str().to_owned();
            CommandError::Failed(error)
        }
        other => other,
    }
}

/// Returns the verdict of an error; an unknown verdict counts as "may have run".
fn parse_verdict(error: &WireError) -> Verdict {
    Verdict::parse(&error.verdict).unwrap_or(Verdict::MayHaveRun)
}

async fn send_attempt(
    request: reqwest::RequestBuilder,
    idempotence: Idempotence,
) -> AttemptOutcome {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) => return transport_failure(&error, idempotence),
    };
    let status = response.status();
    match response.bytes().await {
        Ok(bytes) if status.is_success() => AttemptOutcome::Success(bytes.to_vec()),
        Ok(bytes) => error_response(status, &bytes, idempotence),
        Err(error) => transport_failure(&error, idempotence),
    }
}

/// Returns the outcome of a call without a complete response. If the connection failed, nothing
/// was sent.
fn transport_failure(error: &reqwest::Error, idempotence: Idempotence) -> AttemptOutcome {
    let sent = !error.is_connect();
    let verdict = if sent && idempotence != Idempotence::ReadOnly {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    };
    let cause = std::error::Error::source(error);
    let message = cause.map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"));
    let wire = WireError {
        verdict: verdict.as_str().to_owned(),
        kind: ErrorKind::Unavailable.as_str().to_owned(),
        message,
    };
    if verdict == Verdict::NotRun || idempotence == Idempotence::Idempotent {
        AttemptOutcome::TryNext(wire)
    } else {
        AttemptOutcome::Failure(CommandError::Failed(wire))
    }
}

fn error_response(status: StatusCode, bytes: &[u8], idempotence: Idempotence) -> AttemptOutcome {
    if let Ok(stale) = serde_json::from_slice::<WireStaleChange>(bytes) {
        return AttemptOutcome::Failure(CommandError::Stale(Box::new(stale)));
    }
    let Ok(WireErrorBody { error }) = serde_json::from_slice(bytes) else {
        // An entry's router rejects unknown paths without a verdict and runs nothing.
        let unknown_path = matches!(status.as_u16(), 404 | 405);
        let verdict = if unknown_path || idempotence == Idempotence::ReadOnly {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        let message = format!("the entry responded with {status} and without a verdict");
        let kind = ErrorKind::Failed.as_str();
        return AttemptOutcome::Failure(CommandError::failed(verdict, kind, message));
    };
    let retryable_kind = matches!(
        ErrorKind::parse(&error.kind),
        Some(ErrorKind::Busy | ErrorKind::Unavailable | ErrorKind::Closed)
    );
    let retryable_verdict =
        parse_verdict(&error) == Verdict::NotRun || idempotence != Idempotence::NonIdempotent;
    if retryable_kind && retryable_verdict {
        AttemptOutcome::TryNext(error)
    } else {
        AttemptOutcome::Failure(CommandError::Failed(error))
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8], idempotence: Idempotence) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| {
        let verdict = if idempotence == Idempotence::ReadOnly {
            Verdict::NotRun
        } else {
            Verdict::Ran
        };
        let message = format!("cannot decode the entry's response: {error}");
        CommandError::failed(verdict, ErrorKind::Failed.as_str(), message)
    })
}

fn read_entries(path: &Path) -> Result<Vec<String>> {
    let mut file = SettingsFile::open(path)?;
    let entries = file.list("client", "entries", "URLs such as http://127.0.0.1:8080");
    Ok(file.finish(entries)?)
}

fn parse_url(text: &str) -> Result<Url> {
    let url = Url::parse(text).ok();
    let url = url.filter(|url| url.scheme() == "http" && url.has_host());
    url.ok_or_else(|| {
        let expected = "expected a URL such as http://127.0.0.1:8080";
        CommandError::Usage(format!("entry {text:?}: {expected}"))
    })
}

fn join_url(entry: &Url, path: &str) -> String {
    format!("{}{path}", entry.as_str().trim_end_matches('/'))
}
