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

use super::CallBudget;
use super::CallError;
use super::CallKind;
use super::CallResult;
use crate::StoreSettings;
use crate::StoreView;
use crate::wire::HasHeader;
use crate::wire::WireGatewayError;

/// The header in which a client tells its name, so that operators can tell clients apart.
pub const CLIENT_NAME_HEADER: &str = "x-client-name";

/// How late a call may be sent after the time that was reserved for it. Together with the margin
/// of the budget's window it bounds how close calls can arrive.
const MAX_DELAY: Duration = Duration::from_millis(50);

/// The turn of one call within the budget.
#[derive(Debug)]
pub(crate) struct Turn(Timestamp);

/// The JSON gateway of the store: sends calls within the budget and tells what became of them.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: StoreSettings,
    client: Client,
    client_name: Arc<str>,
    endpoint: AtomicUsize,
    started: Instant,
    reads: CallBudget,
    writes: CallBudget,
    view: ArcSwapOption<StoreView>,
}

impl Gateway {
    /// Makes a gateway; it connects with the first call.
    pub fn new(settings: StoreSettings, client_name: Arc<str>) -> Self {
        let client = Client::builder()
            .connect_timeout(settings.call_timeout)
            .no_proxy()
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()
            .expect("the fixed settings of the HTTP client are valid");
        Self {
            client,
            client_name,
            endpoint: AtomicUsize::new(0),
            started: Instant::now(),
            reads: CallBudget::new(settings.reads_per_second),
            writes: CallBudget::new(settings.writes_per_second),
            view: ArcSwapOption::empty(),
            settings,
        }
    }

    /// What the responses have told of the store.
    pub fn view(&self) -> Option<StoreView> {
        self.view.load().as_deref().copied()
    }

    /// Waits for the call's turn within the budget.
    pub async fn reserve(&self, kind: CallKind) -> CallResult<Turn> {
        let budget = if kind.is_read() {
            &self.reads
        } else {
            &self.writes
        };
        let deadline = self.now() + self.settings.max_wait;
        loop {
            let now = self.now();
            let Some(start) = budget.reserve(now, now.until(deadline)) else {
                count(kind, CallError::OverBudget.label());
                return Err(CallError::OverBudget);
            };
            if start > now {
                tokio::time::sleep(now.until(start)).await;
            }
            let turn = Turn(start);
            if self.is_due(&turn) {
                return Ok(turn);
            }
        }
    }

    /// False if the turn has passed, for example because the process was paused.
    fn is_due(&self, turn: &Turn) -> bool {
        self.now().since(turn.0) <= MAX_DELAY
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    /// Waits for the call's turn and makes it; a read may be made twice.
    pub async fn call<Q: Serialize, R: DeserializeOwned + HasHeader>(
        &self,
        kind: CallKind,
        body: &Q,
    ) -> CallResult<R> {
        let turn = self.reserve(kind).await?;
        let first = self.send(kind, turn, body);
        if !kind.is_sent_twice() {
            return first.await;
        }
        // Within the time-out of other calls a silent connection can't be told from a slow store.
        let mut first = std::pin::pin!(first);
        let answered = tokio::time::timeout(self.settings.call_timeout, &mut first).await;
        if let Ok(response) = answered {
            return response;
        }
        let second = async {
            let turn = self.reserve(kind).await?;
            self.send(kind, turn, body).await
        };
        tokio::select! {
            Ok(response) = first => Ok(response),
            response = second => response,
        }
    }

    /// Makes a call in its turn, or in another one if that has passed.
    pub async fn send<Q: Serialize, R: DeserializeOwned + HasHeader>(
        &self,
        kind: CallKind,
        turn: Turn,
        body: &Q,
    ) -> CallResult<R> {
        if !self.is_due(&turn) {
            self.reserve(kind).await?;
        }
        let index = self.endpoint.load(Ordering::Relaxed);
        let address = self.settings.endpoints[index % self.settings.endpoints.len()];
        let url = format!("http://{address}{}", kind.path());
        let req = self.client.post(url).json(body);
        let limit = if kind.is_read() {
            self.settings.read_timeout
        } else {
            self.settings.call_timeout
        };
        let req = req.header(CLIENT_NAME_HEADER, &*self.client_name);
        let req = req.timeout(limit);
        let result = match req.send().await {
            Ok(response) => read_response(response).await,
            Err(error) => Err(transport_error(&error)),
        };
        match &result {
            Ok(response) => self.see(response),
            Err(CallError::NotSent(_) | CallError::Lost(_)) => self.leave_endpoint(index),
            Err(CallError::OverBudget | CallError::Refused { .. }) => {}
        }
        count(
            kind,
            result.as_ref().map_or_else(CallError::label, |_| "ok"),
        );
        result
    }

    fn see(&self, response: &impl HasHeader) {
        self.view.rcu(|view| {
            let view = view.as_deref().copied();
            Some(Arc::new(StoreView::after(view, response.header())))
        });
    }

    /// The exchange fails if another call has already moved on.
    fn leave_endpoint(&self, index: usize) {
        let next = index.wrapping_add(1);
        let order = Ordering::Relaxed;
        let _ = self.endpoint.compare_exchange(index, next, order, order);
    }
}

fn count(kind: CallKind, outcome: &'static str) {
    metrics::counter!("rattanwinch_store_calls_total", "kind" => kind.label(), "outcome" => outcome)
        .increment(1);
}

/// Nothing was sent if no connection could be made; after that, anything may have happened.
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

/// Whether the status says that the call wasn't applied. Other 4xx statuses stand for calls that
/// were cancelled or timed out (408, 409, 499), which can have been applied.
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
