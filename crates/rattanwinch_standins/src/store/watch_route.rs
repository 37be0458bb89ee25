use std::sync::Arc;

use futures::stream;
use poem::Body;
use poem::Request;
use poem::Response;
use rattanwinch_platform::wire::JsonBytes;
use rattanwinch_platform::wire::JsonInt;
use rattanwinch_platform::wire::WireHeader;
use rattanwinch_platform::wire::WireKeyValue;
use tokio::sync::watch::Receiver;

use super::CallClass;
use super::KvResult;
use super::SharedState;
use super::gateway_routes::client_name;
use super::gateway_routes::error_response;
use super::gateway_routes::parse;
use super::kv_state::KvEvent;
use super::kv_state::is_below;

/// The maximum size of the body of a watch request.
const MAX_BODY_BYTES: usize = 64 * 1024;

rattanwinch_types::value! { wire
    /// The body of `/v3/watch`.
    struct WireWatch {
        /// The range to watch.
        #[serde(alias = "createRequest")]
        create_request: WireWatchCreate,
    }
}

rattanwinch_types::value! { wire
    /// The range to watch.
    struct WireWatchCreate {
        /// The first key.
        key: JsonBytes,
        /// The end of the range (exclusive); empty for a single key.
        #[serde(default, alias = "rangeEnd")]
        range_end: JsonBytes,
        /// The first revision to report; 0 for the next change.
        #[serde(default, alias = "startRevision")]
        start_revision: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// One line of the watch stream.
    struct WireWatchMessage {
        /// The message.
        result: WireWatchResult,
    }
}

rattanwinch_types::value! { wire
    /// The content of a watch message.
    #[derive(Default)]
    struct WireWatchResult {
        /// The header.
        header: WireHeader,
        /// Whether the watch was created with this message.
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        created: bool,
        /// Whether the watch has ended with this message.
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        canceled: bool,
        /// The changes, in order.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        events: Vec<WireEvent>,
    }
}

rattanwinch_types::value! { wire
    /// A change of a key.
    struct WireEvent {
        /// `DELETE`, or absent for a put.
        #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
        kind: Option<String>,
        /// The key-value pair after the change.
        kv: WireKeyValue,
    }
}

impl From<KvEvent> for WireEvent {
    fn from(event: KvEvent) -> Self {
        Self {
            kind: event.deleted.then(|| "DELETE".to_owned()),
            kv: event.kv,
        }
    }
}

/// An open watch; it counts against the read rate limit until it is dropped.
struct WaitingWatch {
    shared: Arc<SharedState>,
    changed: Receiver<i64>,
    request: WireWatchCreate,
    next_revision: i64,
    cluster_id: u64,
    created: bool,
    ended: bool,
}

/// Handles `POST /v3/watch`: streams changes as lines of JSON.
pub(super) async fn watch(shared: Arc<SharedState>, req: Request) -> poem::Result<Response> {
    Ok(start(shared, req).await.unwrap_or_else(error_response))
}

async fn start(shared: Arc<SharedState>, mut req: Request) -> KvResult<Response> {
    let client = client_name(&req);
    let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await;
    let body = body.map_err(|_| super::KvError::TooLarge)?;
    let request = parse::<WireWatch>(&body)?.create_request;
    shared.admit(&client, "watch", CallClass::Read).await?;
    let watch = WaitingWatch::new(shared, request);
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = watch.next_line().await?;
        Some((Ok::<_, std::io::Error>(line), watch))
    });
    Ok(Response::from(Body::from_bytes_stream(lines)))
}

impl WaitingWatch {
    fn new(shared: Arc<SharedState>, request: WireWatchCreate) -> Self {
        let changed = shared.changed.subscribe();
        let (revision, cluster_id) =
            shared.with_state(|state, _| (state.revision, state.cluster_id));
        let start = request.start_revision.0;
        shared.counter().watch_opened();
        Self {
            next_revision: if start > 0 { start } else { revision + 1 },
            shared,
            changed,
            request,
            cluster_id,
            created: false,
            ended: false,
        }
    }

    /// Returns the next message, or `None` once the watch has ended.
    async fn next_line(&mut self) -> Option<Vec<u8>> {
        loop {
            if self.ended {
                return None;
            }
            self.changed.mark_unchanged();
            if let Some(result) = self.next_result() {
                let message = WireWatchMessage { result };
                let mut line = serde_json::to_vec(&message).ok()?;
                line.push(b'\n');
                return Some(line);
            }
            self.changed.changed().await.ok()?;
        }
    }

    fn next_result(&mut self) -> Option<WireWatchResult> {
        let next = self.next_revision;
        let (header, events) = self
            .shared
            .with_state(|state, _| (state.header(), state.events_since(next)));
        let base = WireWatchResult {
            header,
            ..WireWatchResult::default()
        };
        if !self.created {
            self.created = true;
            return Some(WireWatchResult {
                created: true,
                ..base
            });
        }
        // The watch ends if the store was restored or the next changes were compacted.
        let Some(events) = events.filter(|_| base.header.cluster_id.0 == self.cluster_id) else {
            self.ended = true;
            return Some(WireWatchResult {
                canceled: true,
                ..base
            });
        };
        self.next_revision = base.header.revision.0.max(next - 1) + 1;
        let events = events
            .into_iter()
            .filter(|event| self.is_watched(&event.kv.key));
        let events: Vec<_> = events.map(WireEvent::from).collect();
        (!events.is_empty()).then_some(WireWatchResult { events, ..base })
    }

    fn is_watched(&self, key: &JsonBytes) -> bool {
        let request = &self.request;
        if request.range_end.is_empty() {
            return request.key == *key;
        }
        *key >= request.key && is_below(key, &request.range_end)
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.shared.counter().watch_closed();
    }
}
