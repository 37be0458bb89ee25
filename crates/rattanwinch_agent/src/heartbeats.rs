use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng as _;
use rattanwinch_peers::EntryClient;
use rattanwinch_runtime::Shutdown;
use rattanwinch_targets::Executor;
use rattanwinch_types::EntryAddress;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::Timestamp;
use slog::debug;
use slog::warn;
use tokio::sync::mpsc;

use crate::agent_state::AgentState;

/// An entry that was learnt from another one and hasn't answered for this long is dropped.
const FORGET_ENTRY_AFTER: Duration = Duration::from_secs(30);

/// Entry lists from responses that may wait to be read.
const QUEUED_ENTRY_LISTS: usize = 16;

/// Sends heartbeats to every known entry, from the adoption of the executor's tasks until the
/// daemon stops.
pub(crate) async fn run<E: Executor>(
    state: Arc<AgentState<E>>,
    address: SocketAddr,
    shutdown: Shutdown,
) {
    tokio::select! {
        true = state.members.adopted() => {}
        () = shutdown.requested() => return,
    }
    let (tx, mut rx) = mpsc::channel(QUEUED_ENTRY_LISTS);
    let mut known = BTreeMap::new();
    for entry in state.settings.entries.clone() {
        start(&state, address, entry, &tx, &shutdown, &mut known);
    }
    loop {
        let entries: Vec<EntryAddress> = tokio::select! {
            Some(entries) = rx.recv() => entries,
            () = shutdown.requested() => break,
        };
        known.retain(|_, task: &mut tokio::task::JoinHandle<()>| !task.is_finished());
        for entry in entries {
            start(&state, address, entry.address, &tx, &shutdown, &mut known);
        }
    }
    // Each sender ends with a heartbeat that says that the target is leaving.
    for sender in known.into_values() {
        // A sender that panicked has nothing left to send.
        let _ = sender.await;
    }
}

fn start<E: Executor>(
    state: &Arc<AgentState<E>>,
    address: SocketAddr,
    entry: SocketAddr,
    tx: &mpsc::Sender<Vec<EntryAddress>>,
    shutdown: &Shutdown,
    known: &mut BTreeMap<SocketAddr, tokio::task::JoinHandle<()>>,
) {
    known.entry(entry).or_insert_with(|| {
        let sender = HeartbeatSender {
            state: Arc::clone(state),
            address,
            client: EntryClient::new(entry),
            tx: tx.clone(),
        };
        tokio::spawn(sender.run(shutdown.clone()))
    });
}

/// Sends heartbeats to one entry.
struct HeartbeatSender<E> {
    state: Arc<AgentState<E>>,
    address: SocketAddr,
    client: EntryClient,
    tx: mpsc::Sender<Vec<EntryAddress>>,
}

impl<E: Executor> HeartbeatSender<E> {
    async fn run(self, shutdown: Shutdown) {
        let interval = self.state.settings.heartbeat_interval;
        let mut answered_at = self.state.clock.now();
        while !shutdown.is_requested() {
            let sent_at = self.state.clock.now();
            // With the pause before it, a heartbeat on a silent connection is given up 1.3 s after
            // the silence began, and the next one goes out at once over a new connection.
            if self.send(sent_at, interval * 3 / 2).await {
                answered_at = sent_at;
            } else if self.is_forgotten(answered_at) {
                debug!(self.state.logger, "dropping an entry that doesn't answer";
                    "entry" => %self.client.address());
                return;
            }
            // Jitter keeps the agents of a fleet from beating in step after an outage.
            let jitter = rand::rng().random_range(0.9..1.1);
            let pause = interval.mul_f64(jitter);
            let pause = pause.saturating_sub(self.state.clock.now().since(sent_at));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = shutdown.requested() => {}
            }
        }
        // The last heartbeat tells that the target is leaving.
        self.send(self.state.clock.now(), interval).await;
    }

    fn is_forgotten(&self, answered_at: Timestamp) -> bool {
        let seed = self.state.settings.entries.contains(&self.client.address());
        !seed && self.state.clock.now().since(answered_at) > FORGET_ENTRY_AFTER
    }

    /// Sends one heartbeat and takes in the response; true if there was one.
    async fn send(&self, sent_at: Timestamp, limit: Duration) -> bool {
        let heartbeat = self.state.heartbeat(self.address);
        let mut response = match self.client.heartbeat(heartbeat, limit).await {
            Ok(response) => response,
            Err(error) => {
                debug!(self.state.logger, "heartbeat wasn't answered";
                    "entry" => %self.client.address(), "error" => %error);
                return false;
            }
        };
        if response.duplicate {
            warn!(self.state.logger, "another agent holds the target name, so this one idles";
                "target" => %self.state.settings.target, "entry" => %self.client.address());
            return true;
        }
        self.state.apply_response(sent_at, &response);
        // A full queue means that enough entry lists wait already.
        let _ = self.tx.try_send(std::mem::take(&mut response.entries));
        if response.decider_epoch.is_some() {
            let members = &self.state.members;
            members.heartbeat_answered(sent_at, response).await;
        }
        true
    }
}

impl<E: Executor> AgentState<E> {
    /// What the agent reports now; `address` is where it takes calls.
    pub fn heartbeat(&self, address: SocketAddr) -> Heartbeat {
        let gate = self.gate.load();
        Heartbeat {
            target: self.settings.target.clone(),
            incarnation: self.incarnation,
            address,
            zone: self.settings.zone.clone(),
            rack: self.settings.rack.clone(),
            accelerators: self.settings.accelerators,
            slots: self.settings.slots,
            in_flight: self.in_flight.load(Ordering::Acquire),
            leaving: gate.leaving,
            epoch: self.epoch(),
            config_revision: gate.config_revision,
            members: self.members.reports(),
        }
    }
}
