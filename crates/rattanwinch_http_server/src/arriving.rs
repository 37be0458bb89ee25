//! A request until it is passed on: `Request<Arriving>`, then `Request<Complete>`.

use std::sync::Arc;

use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::body::Bytes;
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::Refusal;
use crate::connection::Connection;
use crate::connection::Phase;
use crate::port_limits::FREE_BODY_BYTES;
use crate::port_state::PortState;
use crate::port_state::to_units;

/// Result of receiving a request.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;

/// Memory that the handling of a body takes, relative to the body: the copy that the handler reads,
/// the job that is decoded from it, and the message that carries it to the leader.
const HANDLING_FACTOR: usize = 3;

/// A request whose body arrives.
pub(crate) struct Arriving {
    body: Incoming,
}

/// A request that has arrived completely, with the memory that it holds.
pub(crate) struct Complete {
    body: Bytes,
    /// Memory of the body and of its handling.
    _held: [Option<OwnedSemaphorePermit>; 2],
}

/// A request on a connection; `S` is how far it has got.
pub(crate) struct Request<S> {
    head: hyper::http::request::Parts,
    stage: S,
}

impl Request<Arriving> {
    pub(crate) fn new(req: hyper::Request<Incoming>) -> Self {
        let (head, body) = req.into_parts();
        Self {
            head,
            stage: Arriving { body },
        }
    }

    /// Receives the body, and waits until there is memory for its handling.
    ///
    /// # Errors
    ///
    /// Why the request is refused; it was not passed on.
    pub(crate) async fn receive(
        self,
        port: &Arc<PortState>,
        connection: &Connection,
    ) -> Result<Request<Complete>> {
        let max = port.limits.max_body_bytes;
        let stated = self.stage.body.size_hint().exact();
        let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if stated.is_some_and(|bytes| bytes > max) {
            return Err(Refusal::Body);
        }
        let mut reserved = None;
        if let Some(bytes) = stated.filter(|bytes| *bytes > FREE_BODY_BYTES) {
            reserved = Some(reserve_body(port, connection, bytes).await?);
        }
        connection.begin(Phase::Body, port.now());
        let mut received = Vec::with_capacity(stated.unwrap_or_default());
        let mut body = self.stage.body;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = connection.refused.cancelled() => {
                    return Err(connection.refusal().unwrap_or(Refusal::Shed));
                }
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| Refusal::Malformed)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let len = received.len() + data.len();
            if len > max {
                return Err(Refusal::Body);
            }
            if len > FREE_BODY_BYTES && reserved.is_none() {
                // The length of a chunked body is known at its end only.
                reserved = Some(reserve_body(port, connection, max).await?);
                connection.begin(Phase::Body, port.now());
                received.reserve_exact(max - received.len());
            }
            received.extend_from_slice(&data);
        }
        connection.begin(Phase::Complete, port.now());
        connection.set_reserved(0);
        let handling = received.len().saturating_mul(HANDLING_FACTOR);
        let handling = handling.min(port.limits.handling_memory);
        let handled = acquire(port, &port.handling, handling).await?;
        Ok(Request {
            head: self.head,
            stage: Complete {
                body: Bytes::from(received),
                _held: [reserved, Some(handled)],
            },
        })
    }
}

impl Request<Complete> {
    /// The request, and the memory that it holds until it has been handled.
    pub(crate) fn into_parts(self) -> (hyper::Request<Full<Bytes>>, impl Send) {
        let Complete { body, _held: held } = self.stage;
        (hyper::Request::from_parts(self.head, Full::new(body)), held)
    }
}

/// Reserves the memory of a body before it is read, as reservations that grow with the body could
/// all wait for each other.
async fn reserve_body(
    port: &Arc<PortState>,
    connection: &Connection,
    bytes: usize,
) -> Result<OwnedSemaphorePermit> {
    connection.begin(Phase::Waiting, port.now());
    let permit = acquire(port, &port.bodies, bytes).await?;
    connection.set_reserved(bytes);
    Ok(permit)
}

/// Waits for memory, in the order of arrival.
async fn acquire(
    port: &Arc<PortState>,
    memory: &Arc<Semaphore>,
    bytes: usize,
) -> Result<OwnedSemaphorePermit> {
    let units = to_units(bytes);
    if let Ok(permit) = Arc::clone(memory).try_acquire_many_owned(units) {
        return Ok(permit);
    }
    let _wanted = port.want(bytes);
    let acquired = Arc::clone(memory).acquire_many_owned(units);
    match tokio::time::timeout(port.limits.body_timeout, acquired).await {
        Ok(Ok(permit)) => Ok(permit),
        _ => Err(Refusal::NoMemory),
    }
}
