use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use rattanwinch_types::Timestamp;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CallError;
use super::CallKind;
use super::CallRateLimiter;
use super::CallResult;
use crate::StoreRevision;
use crate::StoreSettings;
use crate::wire::HasHeader;
use crate::wire::WireGatewayError;

/// The header with the client's name, by which operators distinguish clients.
pub const CLIENT_NAME_HEADER: &str = "x-client-name";

/// The longest delay between the reserved start of a call and its sending. It must stay below the
/// margin of the rate limiter's window, so that delayed calls do not exceed the store's limit.
const MAX_SEND_DELAY: Duration = Duration::from_millis(50);

/// The part of the read limit that is kept for snapshots. With the default limit it admits two
/// snapshots a second that each remain unanswered for the default read time-out.
const SNAPSHOT_SHARE: u32 = 5;

/// The reserved start time of one call.
#[derive(Debug)]
pub(crate) struct CallReservation {
    start: Timestamp,
}

/// HTTP client of the store's JSON gateway, with rate limiting.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: StoreSettings,
    client: Client,
    client_name: Arc<str>,
    endpoint: AtomicUsize,
    started: Instant,
    /// Limits the reads other than snapshots.
    read_limiter: CallRateLimiter,
    /// Limits the snapshots, so that they do not wait for other reads; `None` if the limit is too
    /// small to be divided.
    snapshot_limiter: Option<CallRateLimiter>,
    write_limiter: CallRateLimiter,
    last_seen_revision: ArcSwapOption<StoreRevision>,
}

impl Gateway {
    /// Creates a client, which connects with the first call.
    pub fn new(settings: StoreSettings, client_name: Arc<str>) -> Self {
        let client = Client::builder()
            .connect_timeout(settings.call_timeout)
            .no_proxy()
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()
            .expect("the fixed settings of the HTTP client are valid");
        let snapshots = settings.reads_per_second / SNAPSHOT_SHARE;
        Self {
            client,
            client_name,
            endpoint: AtomicUsize::new(0),
            started: Instant::now(),
            read_limiter: CallRateLimiter::new(settings.reads_per_second - snapshots),
            snapshot_limiter: (snapshots > 0).then(|| CallRateLimiter::new(snapshots)),
            write_limiter: CallRateLimiter::new(settings.writes_per_second),
            last_seen_revision: ArcSwapOption::empty(),
            settings,
        }
    }

    /// Returns the cluster id and highest revision seen in responses so far.
    pub fn last_seen_revision(&self) -> Option<StoreRevision> {
        self.last_seen_revision.load().as_deref().copied()
    }

    /// Waits until the rate limiter allows the call.
    pub async fn reserve(&self, kind: CallKind) -> CallResult<CallReservation> {
        let rate_limiter = self.limiter(kind);
        let deadline = self.now() + self.settings.max_wait;
        loop {
            let now = self.now();
            let Some(start) = rate_limiter.reserve(now, now.until(deadline)) else {
                count_call(kind, CallError::RateLimited.label());
                return Err(CallError::RateLimited);
            };
            if start > now {
                tokio::time::sleep(now.until(start)).await;
            }
            let reservation = CallReservation { start };
            let now = self.now();
            if self.is_valid(&reservation) && rate_limiter.may_send(start, now) {
                return Ok(reservation);
            }
            rate_limiter.release(start);
        }
    }

    const fn limiter(&self, kind: CallKind) -> &CallRateLimiter {
        match (kind, &self.snapshot_limiter) {
            (CallKind::Snapshot, Some(snapshot_limiter)) => snapshot_limiter,
            _ if kind.is_read() => &self.read_limiter,
            _ => &self.write_limiter,
        }
    }

    /// False if the reserved time has passed, for example because the process was suspended.
    fn is_valid(&self, reservation: &CallReservation) -> bool {
        self.now().since(reservation.start) <= MAX_SEND_DELAY
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    /// Reserves and sends a call; hedges reads.
    pub async fn call<Q: Serialize, R: DeserializeOwned + HasHeader>(
        &self,
        kind: CallKind,
        body: &Q,
    ) -> CallResult<R> {
        let reservation = self.reserve(kind).await?;
        let first = self.send(kind, reservation, body);
        if !kind.is_hedged() {
            return first.await;
        }
        // Until the call time-out, a dead connection cannot be distinguished from a slow store.
        let mut first = std::pin::pin!(first);
        let in_time = tokio::time::timeout(self.settings.call_timeout, &mut first).await;
        match in_time {
            // A connection that the store has just closed fails the call that is sent on it.
            Ok(Err(CallError::Lost(_))) => {
                let reservation = self.reserve(kind).await?;
                return self.send(kind, reservation, body).await;
            }
            Ok(response) => return response,
            Err(_) => {}
        }
        let second = async {
            let reservation = self.reserve(kind).await?;
            self.send(kind, reservation, body).await
        };
        tokio::select! {
            Ok(response) = first => Ok(response),
            response = second => response,
        }
    }

    /// Sends a call with its reservation, or with a new one if the reserved time has passed.
    pub async fn send<Q: Serialize, R: DeserializeOwned + HasHeader>(
        &self,
        kind: CallKind,
        reservation: CallReservation,
        body: &Q,
    ) -> CallResult<R> {
        let reservation = if self.is_valid(&reservation) {
            reservation
        } else {
            self.limiter(kind).release(reservation.start);
            self.reserve(kind).await?
        };
        let _call = CallGuard {
            gateway: self,
            kind,
            start: reservation.start,
        };
        let index = self.endpoint.load(Ordering::Relaxed);
        let address = self.settings.endpoints[index % self.settings.endpoints.len()];
        let url = format!("http://{address}{}", kind.path());
        let req = self.client.post(url).json(body);
        let timeout = if kind.is_read() {
            self.settings.read_timeout
        } else {
            self.settings.call_timeout
        };
        let req = req.header(CLIENT_NAME_HEADER, &*self.client_name);
        let req = req.timeout(timeout);
        let result = match req.send().await {
            Ok(response) => read_response(response).await,
            Err(error) => Err(transport_error(&error)),
        };
        match &result {
            Ok(response) => self.record_header(response),
            Err(CallError::NotSent(_) | CallError::Lost(_)) => self.advance_endpoint(index),
            Err(CallError::RateLimited | CallError::Refused { .. }) => {}
        }
        count_call(
            kind,
            result.as_ref().map_or_else(CallError::label, |_| "ok"),
        );
        result
    }

    fn record_header(&self, response: &impl HasHeader) {
        self.last_seen_revision.rcu(|last_seen_revision| {
            let last_seen_revision = last_seen_revision.as_deref().copied();
            Some(Arc::new(StoreRevision::after(
                last_seen_revision,
                response.header(),
            )))
        });
    }

    /// Switches to the next endpoint, unless another call has already done so.
    fn advance_endpoint(&self, index: usize) {
        let next = index.wrapping_add(1);
        let order = Ordering::Relaxed;
        let _ = self.endpoint.compare_exchange(index, next, order, order);
    }
}

fn count_call(kind: CallKind, outcome: &'static str) {
    metrics::counter!("rattanwinch_store_calls_total", "kind" => kind.label(), "outcome" => outcome)
        .increment(1);
}

/// Records the end of a call, also if its future is dropped.
struct CallGuard<'a> {
    gateway: &'a Gateway,
    kind: CallKind,
    start: Timestamp,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        self.gateway.limiter(self.kind).record_end(self.start, now);
    }
}

/// Nothing was sent if the connection failed; after any other error the call may be applied.
fn transport_error(error: &reqwest::Error) -> CallError {
    let text = match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    if error.is_connect() {
        CallError::NotSent(text)
    } else {
        CallError::Lost(text)
    }
}

async fn read_response<R: DeserializeOwned>(response: Response) -> CallResult<R> {
    let status = response.status();
    if status.is_success() {
        return response
            .json()
            .await
            .map_err(|error| transport_error(&error));
    }
    let text = response.text().await.unwrap_or_default();
    if is_refusal(status) {
        let error: WireGatewayError = serde_json::from_str(&text).unwrap_or_default();
        let message = if error.message.is_empty() {
            format!("{status}: {text}")
        } else {
            error.message
        };
        return Err(CallError::Refused {
            code: error.code,
            message,
        });
    }
    Err(CallError::Lost(format!("{status}: {text}")))
}

/// Whether the status guarantees that the call was not applied. Other 4xx statuses (408, 409, 499)
/// mean that the call was cancelled or timed out, and it may have been applied.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::UNAUTHORIZED
            | StatusCode::FORBIDDEN
            | StatusCode::NOT_FOUND
            | StatusCode::METHOD_NOT_ALLOWED
            | StatusCode::PRECONDITION_FAILED
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::TOO_MANY_REQUESTS
    )
}
