use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use crate::Refusal;
use crate::connection::Connection;
use crate::connection::Phase;
use crate::port_state::PortState;

/// Interval between two sweeps. A client that waits for memory waits at most this much longer.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time without progress after which a connection may be shed. A slow but honest client pauses for
/// at most one retransmission after a lost packet, 0.2 to 0.6 s.
const STALL_MS: u64 = 1000;

/// Time that a refused client has to read its answer.
const REFUSED_MS: u64 = 1000;

/// Enforces the time limits of a port's connections, and sheds stalled ones if memory or
/// connections run out. It never returns.
pub(crate) async fn sweep(port: Arc<PortState>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let connections = port.table.snapshot();
        let now = port.now();
        for connection in &connections {
            enforce_timeouts(&port, connection, now);
        }
        shed_for_memory(&port, &connections, now);
        if port.connections.available_permits() == 0 {
            shed_for_connections(&port, &connections, now);
        }
    }
}

fn enforce_timeouts(port: &PortState, connection: &Connection, now: u64) {
    let limits = &port.limits;
    let is_over = |time: u64, limit: Duration| u128::from(time) > limit.as_millis();
    match connection.phase() {
        Phase::Idle if is_over(connection.inactive_for(now), limits.idle_timeout) => {
            connection.closed.cancel();
        }
        Phase::Head if is_over(connection.phase_age(now), limits.header_timeout) => {
            close(port, connection, Refusal::HeadTimeout, now);
        }
        Phase::Body if is_over(connection.inactive_for(now), limits.body_timeout) => {
            connection.refuse(Refusal::BodyTimeout);
        }
        Phase::Refused if connection.phase_age(now) > REFUSED_MS => connection.closed.cancel(),
        _ => {}
    }
}

/// Sheds the stalled bodies of highest rank until enough memory is free for those who wait.
fn shed_for_memory(port: &PortState, connections: &[Arc<Connection>], now: u64) {
    let mut wanted = port.wanted();
    if wanted == 0 {
        return;
    }
    let holds = |connection: &&Arc<Connection>| {
        connection.phase() == Phase::Body && connection.reserved() > 0
    };
    for connection in stalled(connections.iter().filter(holds), now) {
        if wanted == 0 {
            return;
        }
        wanted = wanted.saturating_sub(connection.reserved());
        connection.refuse(Refusal::Shed);
    }
}

/// Sheds stalled connections so that some of those who wait to connect can. An eighth at a time
/// lets a crowd of 1,000 be replaced within a second.
fn shed_for_connections(port: &PortState, connections: &[Arc<Connection>], now: u64) {
    let count = port.limits.max_connections.div_ceil(8);
    let is_incomplete = |connection: &&Arc<Connection>| {
        matches!(
            connection.phase(),
            Phase::Idle | Phase::Head | Phase::Body | Phase::Refused
        )
    };
    let shed = stalled(connections.iter().filter(is_incomplete), now);
    for connection in shed.into_iter().take(count) {
        close(port, connection, Refusal::Shed, now);
    }
}

/// The connections without progress, those of highest rank first.
fn stalled<'c>(
    connections: impl Iterator<Item = &'c Arc<Connection>>,
    now: u64,
) -> Vec<&'c Arc<Connection>> {
    let mut stalled: Vec<_> = connections
        .filter(|connection| connection.stalled_for(now) > STALL_MS)
        .collect();
    stalled.sort_by_cached_key(|connection| Reverse(connection.shed_rank(now)));
    stalled
}

fn close(port: &PortState, connection: &Connection, kind: Refusal, now: u64) {
    if !connection.closed.is_cancelled() {
        port.refusals.record(kind, now);
        connection.closed.cancel();
    }
}
