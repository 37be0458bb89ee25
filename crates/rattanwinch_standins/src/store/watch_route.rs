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
use super::Shared;
use super::gateway_routes::client_name;
use super::gateway_routes::parse;
use super::gateway_routes::refusal;
use super::kv_state::KvEvent;
use super::kv_state::is_below;

/// The largest body of a request for a watch.
const MAX_BODY_BYTES: usize = 64 * 1024;

rattanwinch_types::value! { wire
    /// The body of `/v3/watch`.
    struct WireWatch {
        /// What to watch.
        #[serde(alias = "createRequest")]
        create_request: WireWatchCreate,
    }
}

rattanwinch_types::value! { wire
    /// What to watch.
    struct WireWatchCreate {
        /// The first key.
        key: JsonBytes,
        /// The key after the last one; empty for the one key.
        #[serde(default, alias = "rangeEnd")]
        range_end: JsonBytes,
        /// The first revision to report; 0 for the next change.
        #[serde(default, alias = "startRevision")]
        start_revision: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// A line of the stream.
    struct WireWatchMessage {
        /// The message.
        result: WireWatchResult,
    }
}

rattanwinch_types::value! { wire
    /// What a watch reports.
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
        /// The key as it is after the change.
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

/// A watch that waits for changes; it counts as waiting until it is dropped.
struct WaitingWatch {
    shared: Arc<Shared>,
    changed: Receiver<i64>,
    wanted: WireWatchCreate,
    next_revision: i64,
    cluster_id: u64,
    created: bool,
    ended: bool,
}

/// `POST /v3/watch`: streams changes as lines of JSON.
pub(super) async fn watch(shared: Arc<Shared>, req: Request) -> poem::Result<Response> {
    Ok(start(shared, req).await.unwrap_or_else(refusal))
}

async fn start(shared: Arc<Shared>, mut req: Request) -> KvResult<Response> {
    let client = client_name(&req);
    let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await;
    let body = body.map_err(|_| super::KvRefusal::TooLarge)?;
    let wanted = parse::<WireWatch>(&body)?.create_request;
    shared.admit(&client, "watch", CallClass::Read).await?;
    let watch = WaitingWatch::new(shared, wanted);
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = watch.next_line().await?;
        Some((Ok::<_, std::io::Error>(line), watch))
    });
    Ok(Response::from(Body::from_bytes_stream(lines)))
}

impl WaitingWatch {
    fn new(shared: Arc<Shared>, wanted: WireWatchCreate) -> Self {
        let changed = shared.changed.subscribe();
        let (revision, cluster_id) =
            shared.with_state(|state, _| (state.revision, state.cluster_id));
        let start = wanted.start_revision.0;
        shared.counter().watch_starts();
        Self {
            next_revision: if start > 0 { start } else { revision + 1 },
            shared,
            changed,
            wanted,
            cluster_id,
            created: false,
            ended: false,
        }
    }

    /// The next message; `None` once the watch has ended.
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
        // Another store's data, or changes that are no longer kept, end the watch.
        let Some(events) = events.filter(|_| base.header.cluster_id.0 == self.cluster_id) else {
            self.ended = true;
            return Some(WireWatchResult {
                canceled: true,
                ..base
            });
        };
        self.next_revision = base.header.revision.0.max(next - 1) + 1;
        let events = events.into_iter().filter(|event| self.wants(&event.kv.key));
        let events: Vec<_> = events.map(WireEvent::from).collect();
        (!events.is_empty()).then_some(WireWatchResult { events, ..base })
    }

    fn wants(&self, key: &JsonBytes) -> bool {
        let wanted = &self.wanted;
        if wanted.range_end.is_empty() {
            return wanted.key == *key;
        }
        *key >= wanted.key && is_below(key, &wanted.range_end)
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.shared.counter().watch_ends();
    }
}
