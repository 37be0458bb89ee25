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
    /// What sending a call twice does.
    pub enum Call {
        /// It only reads.
        Read,
        /// It has an id, so that sending it again never does it twice.
        Repeatable,
        /// It may run twice, so it is sent again only if it certainly didn't run.
        Once,
    }
}

/// The client of the entries' HTTP interface.
#[derive(Clone, Debug)]
pub struct EntryClient {
    entries: Vec<Url>,
    http: Client,
}

/// How one entry answered.
enum Attempt {
    Done(Vec<u8>),
    /// The error is final: no other entry would answer otherwise.
    Final(CommandError),
    /// Another entry may be tried.
    Next(WireError),
}

impl EntryClient {
    /// Takes the entries' URLs, or reads them from `[client] entries` of an INI file.
    ///
    /// # Errors
    ///
    /// [`CommandError::Usage`] if there is no entry or one isn't an `http` URL.
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

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// [`CommandError::Failed`] if no entry answers with the value.
    pub async fn get<T: DeserializeOwned>(&self, path: &str, limit: Duration) -> Result<T> {
        self.call(Method::GET, path, None, Call::Read, limit).await
    }

    /// Sends a call to one entry after the other until one answers for good. `limit` is for each.
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
        call: Call,
        limit: Duration,
    ) -> Result<T> {
        let mut worst = Verdict::NotRun;
        let mut messages = Vec::new();
        for entry in &self.entries {
            let request = self.http.request(method.clone(), join(entry, path));
            let request = request.timeout(limit);
            let request = match body {
                Some(body) => request.json(body),
                None => request,
            };
            match attempt(request, call).await {
                Attempt::Done(bytes) => return decode(&bytes, call),
                Attempt::Final(error) => return Err(worsened(error, worst)),
                Attempt::Next(error) => {
                    worst = worst.max(verdict_of(&error));
                    messages.push(format!("{entry}: {}", error.message));
                }
            }
        }
        let kind = ErrorKind::Unavailable.as_str();
        Err(CommandError::failed(worst, kind, messages.join("; ")))
    }
}

/// The verdict of an error may not be better than that of an earlier attempt, because that
/// attempt may have run.
fn worsened(error: CommandError, worst: Verdict) -> CommandError {
    match error {
        CommandError::Failed(mut error) => {
            let verdict = verdict_of(&error).max(worst);
            error.verdict = verdict.as_str().to_owned();
            CommandError::Failed(error)
        }
        other => other,
    }
}

/// An unknown verdict counts as the worst that isn't known to have run.
fn verdict_of(error: &WireError) -> Verdict {
    Verdict::parse(&error.verdict).unwrap_or(Verdict::MayHaveRun)
}

async fn attempt(request: reqwest::RequestBuilder, call: Call) -> Attempt {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) => return unanswered(&error, call),
    };
    let status = response.status();
    match response.bytes().await {
        Ok(bytes) if status.is_success() => Attempt::Done(bytes.to_vec()),
        Ok(bytes) => refused(status, &bytes, call),
        Err(error) => unanswered(&error, call),
    }
}

/// No whole answer arrived. Without a connection nothing was sent.
fn unanswered(error: &reqwest::Error, call: Call) -> Attempt {
    let sent = !error.is_connect();
    let verdict = if sent && call != Call::Read {
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
    if verdict == Verdict::NotRun || call == Call::Repeatable {
        Attempt::Next(wire)
    } else {
        Attempt::Final(CommandError::Failed(wire))
    }
}

fn refused(status: StatusCode, bytes: &[u8], call: Call) -> Attempt {
    if let Ok(stale) = serde_json::from_slice::<WireStaleChange>(bytes) {
        return Attempt::Final(CommandError::Stale(Box::new(stale)));
    }
    let Ok(WireErrorBody { error }) = serde_json::from_slice(bytes) else {
        // The router of an entry refuses unknown paths without a verdict, and runs nothing.
        let unknown_path = matches!(status.as_u16(), 404 | 405);
        let verdict = if unknown_path || call == Call::Read {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        let message = format!("the entry answered {status} without a verdict");
        let kind = ErrorKind::Failed.as_str();
        return Attempt::Final(CommandError::failed(verdict, kind, message));
    };
    let elsewhere = matches!(
        ErrorKind::parse(&error.kind),
        Some(ErrorKind::Busy | ErrorKind::Unavailable | ErrorKind::Closed)
    );
    let allowed = verdict_of(&error) == Verdict::NotRun || call != Call::Once;
    if elsewhere && allowed {
        Attempt::Next(error)
    } else {
        Attempt::Final(CommandError::Failed(error))
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8], call: Call) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| {
        let verdict = if call == Call::Read {
            Verdict::NotRun
        } else {
            Verdict::Ran
        };
        let message = format!("the entry's answer isn't as expected: {error}");
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

fn join(entry: &Url, path: &str) -> String {
    format!("{}{path}", entry.as_str().trim_end_matches('/'))
}
