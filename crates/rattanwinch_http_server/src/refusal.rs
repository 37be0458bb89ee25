use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use metrics::counter;
use poem::http::StatusCode;
use slog::Logger;
use slog::warn;

/// Why a request was refused or a connection closed before its request was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Refusal {
    /// The head is over the limit, or is no HTTP.
    Head = 1,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The body is over the limit.
    Body,
    /// The next bytes of the body did not arrive in time.
    BodyTimeout,
    /// The client made no progress while others waited for the memory it held.
    Shed,
    /// No memory became free in time.
    NoMemory,
    /// The body broke off or is no valid HTTP.
    Malformed,
}

impl Refusal {
    pub(crate) const ALL: [Self; 7] = [
        Self::Head,
        Self::HeadTimeout,
        Self::Body,
        Self::BodyTimeout,
        Self::Shed,
        Self::NoMemory,
        Self::Malformed,
    ];

    pub(crate) fn from_code(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| *kind as u8 == code)
    }

    /// The kind as it is named in metrics and logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::HeadTimeout => "head_timeout",
            Self::Body => "body",
            Self::BodyTimeout => "body_timeout",
            Self::Shed => "shed",
            Self::NoMemory => "no_memory",
            Self::Malformed => "malformed",
        }
    }

    /// The status of the answer. The request was not passed on, so 503 is true: it has not run.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Head => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::HeadTimeout | Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Body => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Shed | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    /// The reason in a sentence.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Head => "the request's head is too large",
            Self::HeadTimeout => "the request's head did not arrive in time",
            Self::Body => "the request is too large",
            Self::Malformed => "the request body could not be read",
            Self::BodyTimeout => "the request's body did not arrive in time",
            Self::Shed | Self::NoMemory => {
                "the request has not run: too many others are incomplete"
            }
        }
    }
}

/// Counts refusals, and logs each kind at most once a second.
#[derive(Debug)]
pub(crate) struct RefusalLog {
    log: Logger,
    port: &'static str,
    /// The second in which each kind was last logged.
    logged: [AtomicU64; Refusal::ALL.len()],
    /// Refusals of each kind since the last record.
    unlogged: [AtomicU64; Refusal::ALL.len()],
}

impl RefusalLog {
    pub(crate) fn new(port: &'static str, log: Logger) -> Self {
        Self {
            log,
            port,
            logged: Default::default(),
            unlogged: Default::default(),
        }
    }

    /// Records a refusal at `now_ms`, in milliseconds since the start of the port.
    pub(crate) fn record(&self, kind: Refusal, now_ms: u64) {
        let labels = [("port", self.port), ("kind", kind.name())];
        counter!("rattanwinch_http_refusals_total", &labels).increment(1);
        let index = kind as usize - 1;
        self.unlogged[index].fetch_add(1, Ordering::AcqRel);
        // Seconds are counted from 1, so that the initial value 0 is in the past.
        let second = now_ms / 1000 + 1;
        if self.logged[index].swap(second, Ordering::AcqRel) == second {
            return;
        }
        let count = self.unlogged[index].swap(0, Ordering::AcqRel);
        warn!(self.log, "requests refused before they were passed on";
            "port" => self.port, "kind" => kind.name(), "count" => count);
    }
}
