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

/// How long an entry that is not in the settings is kept without a response.
const ENTRY_RETENTION: Duration = Duration::from_secs(30);

/// The capacity of the queue of entry lists from responses.
const ENTRY_LIST_QUEUE_CAPACITY: usize = 16;

/// Sends heartbeats to every known entry, from the adoption of the executor's tasks until the
/// daemon stops.
pub(crate) async fn run<E: Executor>(
    state: Arc<AgentState<E>>,
    address: SocketAddr,
    shutdown: Shutdown,
) {
    tokio::select! {
        true = state.members.wait_adopted() => {}
        () = shutdown.requested() => return,
    }
    let (entry_lists, mut rx) = mpsc::channel(ENTRY_LIST_QUEUE_CAPACITY);
    let mut senders = BTreeMap::new();
    for entry in state.settings.entries.clone() {
        start_sender(
            &state,
            address,
            entry,
            &entry_lists,
            &shutdown,
            &mut senders,
        );
    }
    loop {
        let entries: Vec<EntryAddress> = tokio::select! {
            Some(entries) = rx.recv() => entries,
            () = shutdown.requested() => break,
        };
        senders.retain(|_, task: &mut tokio::task::JoinHandle<()>| !task.is_finished());
        for entry in entries {
            start_sender(
                &state,
                address,
                entry.address,
                &entry_lists,
                &shutdown,
                &mut senders,
            );
        }
    }
    // Each sender ends with a heartbeat that reports that the target is leaving.
    for sender in senders.into_values() {
        // A sender that panicked sends no last heartbeat.
        let _ = sender.await;
    }
}

fn start_sender<E: Executor>(
    state: &Arc<AgentState<E>>,
    address: SocketAddr,
    entry: SocketAddr,
    entry_lists: &mpsc::Sender<Vec<EntryAddress>>,
    shutdown: &Shutdown,
    senders: &mut BTreeMap<SocketAddr, tokio::task::JoinHandle<()>>,
) {
    senders.entry(entry).or_insert_with(|| {
        let sender = HeartbeatSender {
            state: Arc::clone(state),
            address,
            client: EntryClient::new(entry),
            entry_lists: entry_lists.clone(),
        };
        tokio::spawn(sender.run(shutdown.clone()))
    });
}

/// Sends heartbeats to one entry.
struct HeartbeatSender<E> {
    state: Arc<AgentState<E>>,
    address: SocketAddr,
    client: EntryClient,
    entry_lists: mpsc::Sender<Vec<EntryAddress>>,
}

impl<E: Executor> HeartbeatSender<E> {
    async fn run(self, shutdown: Shutdown) {
        let interval = self.state.settings.heartbeat_interval;
        let mut last_response_at = self.state.clock.now();
        while !shutdown.is_requested() {
            let sent_at = self.state.clock.now();
            // Including the delay before it, a heartbeat on an unresponsive connection times out
            // 1.3 s after the connection stopped responding, and the next one is sent at once over
            // a new connection.
            if self.send(sent_at, interval * 3 / 2).await {
                last_response_at = sent_at;
            } else if self.is_expired(last_response_at) {
                debug!(self.state.logger, "stopped sending heartbeats to an entry that does not \
                    respond";
                    "entry" => %self.client.address());
                return;
            }
            // Jitter keeps the agents of a fleet from synchronising their heartbeats after an
            // outage.
            let jitter = rand::rng().random_range(0.9..1.1);
            let delay = interval.mul_f64(jitter);
            let delay = delay.saturating_sub(self.state.clock.now().since(sent_at));
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = shutdown.requested() => {}
            }
        }
        // The last heartbeat reports that the target is leaving.
        self.send(self.state.clock.now(), interval).await;
    }

    fn is_expired(&self, last_response_at: Timestamp) -> bool {
        let seed = self.state.settings.entries.contains(&self.client.address());
        !seed && self.state.clock.now().since(last_response_at) > ENTRY_RETENTION
    }

    /// Sends one heartbeat and applies the response; returns whether there was one.
    async fn send(&self, sent_at: Timestamp, limit: Duration) -> bool {
        let heartbeat = self.state.heartbeat(self.address);
        let mut response = match self.client.heartbeat(heartbeat, limit).await {
            Ok(response) => response,
            Err(error) => {
                debug!(self.state.logger, "heartbeat failed; retrying after the next interval";
                    "entry" => %self.client.address(), "error" => %error);
                return false;
            }
        };
        if response.duplicate {
            warn!(self.state.logger, "another agent uses the same target name; this one stays idle";
                "target" => %self.state.settings.target, "entry" => %self.client.address());
            return true;
        }
        self.state.apply_response(sent_at, &response);
        // A full queue already holds enough entry lists.
        let _ = self
            .entry_lists
            .try_send(std::mem::take(&mut response.entries));
        if response.decider_epoch.is_some() {
            let members = &self.state.members;
            members.send_heartbeat_response(sent_at, response).await;
        }
        true
    }
}

impl<E: Executor> AgentState<E> {
    /// The heartbeat to send now; `address` is where the agent accepts calls.
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
