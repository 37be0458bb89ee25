use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use imbl::HashMap;
use jsonrpsee::client_transport::ws::Url;
use jsonrpsee::client_transport::ws::WsTransportClientBuilder;
use jsonrpsee::core::client::BatchResponse;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::core::client::ReceivedMessage;
use jsonrpsee::core::client::TransportReceiverT;
use jsonrpsee::core::client::TransportSenderT;
use jsonrpsee::core::params::BatchRequestBuilder;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::types::Id;
use jsonrpsee::types::Notification;
use jsonrpsee::types::Request;
use jsonrpsee::types::Response;
use jsonrpsee::types::ResponseSuccess;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use tokio::sync::SetOnce;
use tokio::sync::mpsc;

use crate::MAX_MESSAGE_BYTES;

/// Messages that wait to be written; an agent admits far fewer calls.
const MAX_WAITING_MESSAGES: usize = 4096;

/// The time that the closing handshake may take on a connection that nobody uses.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The text of the response to one call, or `None` once the connection has ended.
type Waiter = Arc<SetOnce<Option<String>>>;

/// A JSON-RPC client of one WebSocket over `jsonrpsee`'s transport.
///
/// It keeps no time limit: `jsonrpsee`'s own client has a timer for each call on a helper thread
/// of the process, which wakes up twice a call, and every caller here has a limit of its own.
pub struct AgentClient {
    next_id: AtomicU64,
    outgoing: mpsc::Sender<String>,
    calls: Arc<Calls>,
}

impl fmt::Debug for AgentClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentClient").finish_non_exhaustive()
    }
}

impl AgentClient {
    /// Connects to the server at `url`; `None` if it can't be reached within `limit`.
    pub async fn connect(url: &str, limit: Duration) -> Option<Self> {
        let transport = WsTransportClientBuilder::default()
            .connection_timeout(limit)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(Url::parse(url).ok()?);
        let (sender, receiver) = tokio::time::timeout(limit, transport).await.ok()?.ok()?;
        let (outgoing, messages) = mpsc::channel(MAX_WAITING_MESSAGES);
        let calls = Arc::new(Calls::new());
        tokio::spawn(run_connection(
            sender,
            receiver,
            messages,
            Arc::clone(&calls),
        ));
        Some(Self {
            next_id: AtomicU64::new(0),
            outgoing,
            calls,
        })
    }

    async fn send(&self, message: String) -> Result<(), ClientError> {
        let sent = self.outgoing.send(message).await;
        sent.map_err(|_| ClientError::ServiceDisconnect)
    }
}

impl ClientT for AgentClient {
    async fn notification<Params>(&self, method: &str, params: Params) -> Result<(), ClientError>
    where
        Params: ToRpcParams + Send,
    {
        let message = Notification::new(method.into(), params.to_rpc_params()?);
        self.send(serde_json::to_string(&message)?).await
    }

    async fn request<R, Params>(&self, method: &str, params: Params) -> Result<R, ClientError>
    where
        R: DeserializeOwned,
        Params: ToRpcParams + Send,
    {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let params = params.to_rpc_params()?;
        let req = Request::borrowed(method, params.as_deref(), Id::Number(id));
        let message = serde_json::to_string(&req)?;
        let call = self.calls.begin(id).ok_or(ClientError::ServiceDisconnect)?;
        self.send(message).await?;
        let text = call.waiter.wait().await;
        let text = text.as_ref().ok_or(ClientError::ServiceDisconnect)?;
        let response: Response<'_, &RawValue> = serde_json::from_str(text)?;
        let success = ResponseSuccess::try_from(response)?;
        Ok(serde_json::from_str(success.result.get())?)
    }

    async fn batch_request<'a, R>(
        &self,
        _batch: BatchRequestBuilder<'a>,
    ) -> Result<BatchResponse<'a, R>, ClientError>
    where
        R: DeserializeOwned + fmt::Debug + 'a,
    {
        let message = "calls to an agent aren't batched, so that none waits for another";
        Err(ClientError::Custom(message.to_owned()))
    }
}

/// The calls that wait for their responses; none once the connection has ended.
struct Calls(ArcSwapOption<HashMap<u64, Waiter>>);

impl Calls {
    fn new() -> Self {
        Self(ArcSwapOption::from_pointee(HashMap::new()))
    }

    /// Enters a call; `None` if the connection has ended.
    fn begin(self: &Arc<Self>, id: u64) -> Option<Call> {
        let waiter: Waiter = Arc::new(SetOnce::new());
        let before = self.0.rcu(|calls| {
            let calls = calls.as_ref()?;
            Some(Arc::new(calls.update(id, Arc::clone(&waiter))))
        });
        let calls = Arc::clone(self);
        before.is_some().then_some(Call { id, waiter, calls })
    }

    /// Hands a response to its call. One that nobody waits for any longer is dropped.
    fn answer(&self, text: String) {
        let Ok(response) = serde_json::from_str::<ResponseId>(&text) else {
            return;
        };
        let calls = self.0.load();
        let waiter = calls.as_ref().and_then(|calls| calls.get(&response.id));
        if let Some(waiter) = waiter {
            // Only a repeated response finds it set; the first one counts.
            let _ = waiter.set(Some(text));
        }
    }

    /// Tells all calls that no response will arrive and takes no more.
    fn end(&self) {
        let calls = self.0.swap(None);
        for waiter in calls.iter().flat_map(|calls| calls.values()) {
            // A call that has its response keeps it.
            let _ = waiter.set(None);
        }
    }
}

/// A call that waits, until it is dropped.
struct Call {
    id: u64,
    waiter: Waiter,
    calls: Arc<Calls>,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.calls
            .0
            .rcu(|calls| Some(Arc::new(calls.as_ref()?.without(&self.id))));
    }
}

/// The part of a response that says which call it belongs to.
#[derive(Deserialize)]
struct ResponseId {
    id: u64,
}

/// Writes and reads until the client is dropped or the connection breaks. Both halves run
/// beside each other, so that a peer which doesn't read can't keep responses from being read.
async fn run_connection(
    sender: impl TransportSenderT + Send,
    receiver: impl TransportReceiverT + Send,
    messages: mpsc::Receiver<String>,
    calls: Arc<Calls>,
) {
    tokio::select! {
        () = write(sender, messages) => {}
        () = read(receiver, &calls) => {}
    }
    calls.end();
}

async fn write(mut sender: impl TransportSenderT + Send, mut messages: mpsc::Receiver<String>) {
    while let Some(message) = messages.recv().await {
        if sender.send(message).await.is_err() {
            return;
        }
    }
    // Nobody uses the connection, so it doesn't matter whether the peer confirms.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, sender.close()).await;
}

async fn read(mut receiver: impl TransportReceiverT + Send, calls: &Calls) {
    loop {
        match receiver.receive().await {
            Ok(ReceivedMessage::Text(text)) => calls.answer(text),
            Ok(ReceivedMessage::Bytes(bytes)) => {
                // JSON is UTF-8; anything else belongs to no call.
                if let Ok(text) = String::from_utf8(bytes) {
                    calls.answer(text);
                }
            }
            Ok(ReceivedMessage::Pong) => {}
            Err(_) => return,
        }
    }
}
