use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rattanwinch_decisions::Adopting;
use rattanwinch_decisions::Deciding;
use rattanwinch_decisions::Following;
use rattanwinch_decisions::PING_INTERVAL;
use rattanwinch_decisions::Peers;
use rattanwinch_decisions::Role;
use rattanwinch_platform::Condition;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::DeciderRecord;
use rattanwinch_runtime::Shutdown;
use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use slog::info;
use slog::warn;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::task::JoinHandle;

use super::decider;
use super::registration::Registration;
use super::zone_table::ZoneHandle;
use crate::entry_state::EntryState;

/// The interval at which roles are updated: a fraction of the 300 ms between two ranks.
const ROLE_UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// A role with the task and handle that belong to it.
enum RunningRole {
    /// Another entry decides the zone, or none does.
    Following(Role<Following>),
    /// This entry is writing the decider key.
    Claiming(Role<Following>, oneshot::Receiver<Option<Epoch>>),
    /// The decider task reads the job records.
    Adopting(Role<Adopting>, ZoneHandle, JoinHandle<()>),
    /// The decider task makes decisions.
    Deciding(Role<Deciding>, JoinHandle<()>),
}

/// Monitors the other entries, and takes over and releases the zones of the configuration until the
/// daemon stops.
pub(crate) async fn run<S: Store>(state: Arc<EntryState<S>>, shutdown: Shutdown) {
    let mut roles = RoleManager {
        state,
        peers: Peers::default(),
        zones: BTreeMap::new(),
        registration: Registration::default(),
        last_ping_at: Timestamp::ZERO,
        draining: false,
    };
    while !shutdown.is_requested() {
        roles.update();
        tokio::select! {
            () = tokio::time::sleep(ROLE_UPDATE_INTERVAL) => {}
            () = shutdown.requested() => {}
        }
    }
    roles.release_all();
}

struct RoleManager<S> {
    state: Arc<EntryState<S>>,
    peers: Peers,
    zones: BTreeMap<ZoneName, RunningRole>,
    registration: Registration,
    last_ping_at: Timestamp,
    draining: bool,
}

impl<S: Store> RoleManager<S> {
    fn update(&mut self) {
        let now = self.state.clock.now();
        self.update_peers(now);
        let draining = self.state.draining.load(Ordering::Acquire);
        if draining && !self.draining {
            self.draining = true;
            // The next ping reports to the other entries that the zones have no decider.
            self.release_all();
            self.last_ping_at = Timestamp::ZERO;
        }
        self.registration.ensure_registered(&self.state, now);
        if now.since(self.last_ping_at) >= PING_INTERVAL {
            self.last_ping_at = now;
            self.state.ping_peers();
        }
        let config = Arc::clone(&self.state.control.load().config);
        for zone in &config.zones {
            if !self.zones.contains_key(zone) {
                let own = self.state.settings.entry.clone();
                let role = Role::new(zone.clone(), own, self.state.incarnation);
                self.zones
                    .insert(zone.clone(), RunningRole::Following(role));
            }
        }
        let zones: Vec<ZoneName> = self.zones.keys().cloned().collect();
        for zone in zones {
            if let Some(role) = self.zones.remove(&zone) {
                let role = self.update_role(&zone, role, now);
                self.zones.insert(zone, role);
            }
        }
    }

    fn update_peers(&mut self, now: Timestamp) {
        let own = &self.state.settings.entry;
        let control = self.state.control.load();
        let registered = control.entries.iter().map(|record| record.entry.clone());
        let registered: Vec<EntryName> = registered.filter(|entry| entry != own).collect();
        self.peers.set_registered(&registered, now);
        self.state.zones.remove_silent_peers(&registered, now);
        for peer in self.state.zones.peers().into_iter().map(|(_, peer)| peer) {
            self.peers.record_state(peer.state, peer.received_at);
        }
    }

    fn update_role(&self, zone: &ZoneName, role: RunningRole, now: Timestamp) -> RunningRole {
        let view = self
            .state
            .control
            .load()
            .role_view(zone, self.draining, now);
        match role {
            RunningRole::Following(mut role) => {
                match role.check_takeover(&view, &self.peers, now) {
                    Some(replaced) => {
                        let (tx, rx) = oneshot::channel();
                        let claim = claim_zone(Arc::clone(&self.state), zone.clone(), replaced);
                        tokio::spawn(async move { tx.send(claim.await) });
                        RunningRole::Claiming(role, rx)
                    }
                    None => RunningRole::Following(role),
                }
            }
            RunningRole::Claiming(role, mut claim) => match claim.try_recv() {
                Ok(Some(epoch)) => self.start_adopting(zone, role.adopt(epoch)),
                Err(TryRecvError::Empty) => RunningRole::Claiming(role, claim),
                Ok(None) | Err(TryRecvError::Closed) => RunningRole::Following(role),
            },
            RunningRole::Adopting(role, handle, task) => {
                if task.is_finished() || role.is_deposed(&view, &self.peers) {
                    task.abort();
                    self.state.zones.remove(zone);
                    RunningRole::Following(role.follow())
                } else if handle.ready.load(Ordering::Acquire) {
                    info!(self.state.logger, "started deciding the zone"; "zone" => %zone,
                        "epoch" => role.epoch().0);
                    RunningRole::Deciding(role.decide(), task)
                } else {
                    RunningRole::Adopting(role, handle, task)
                }
            }
            RunningRole::Deciding(role, task) => {
                if task.is_finished() || role.is_deposed(&view, &self.peers) {
                    warn!(self.state.logger, "stopped deciding the zone: another entry decides it";
                        "zone" => %zone);
                    task.abort();
                    self.state.zones.remove(zone);
                    RunningRole::Following(role.follow())
                } else {
                    RunningRole::Deciding(role, task)
                }
            }
        }
    }

    fn start_adopting(&self, zone: &ZoneName, role: Role<Adopting>) -> RunningRole {
        counter!("zone_takeovers_total").increment(1);
        let (handle, task) = decider::start(&self.state, zone, role.epoch());
        self.state.zones.insert(zone, &handle);
        RunningRole::Adopting(role, handle, tokio::spawn(task))
    }

    /// Stops deciding all zones. The store and the agents hold all the state that the next decider
    /// needs.
    fn release_all(&mut self) {
        for (zone, role) in std::mem::take(&mut self.zones) {
            let role = match role {
                RunningRole::Following(role) | RunningRole::Claiming(role, _) => role,
                RunningRole::Adopting(role, _, task) => {
                    task.abort();
                    role.follow()
                }
                RunningRole::Deciding(role, task) => {
                    task.abort();
                    role.follow()
                }
            };
            self.state.zones.remove(&zone);
            self.zones.insert(zone, RunningRole::Following(role));
        }
    }
}

/// Replaces the decider key at `replaced` with this entry's; returns the epoch on success.
async fn claim_zone<S: Store>(
    state: Arc<EntryState<S>>,
    zone: ZoneName,
    replaced: Option<Revision>,
) -> Option<Epoch> {
    let key = keys::decider(&zone);
    let record = DeciderRecord {
        entry: state.settings.entry.clone(),
        incarnation: state.incarnation,
    };
    let condition = match replaced {
        Some(revision) => Condition::ModifiedAt(Arc::clone(&key), revision),
        None => Condition::Absent(Arc::clone(&key)),
    };
    let transaction = Transaction::new().with_condition(condition).with_put(
        key,
        record.encode(),
        Retention::Permanent,
    );
    match state.store.transact(transaction).await {
        Ok(TransactionOutcome::Applied(revision)) => Some(Epoch(revision.0)),
        Ok(TransactionOutcome::Conflict(found)) => {
            let own = found.iter().find(|found| {
                DeciderRecord::decode(&found.value).is_ok_and(|known| known == record)
            });
            own.map(|found| Epoch(found.revision.0))
        }
        Err(error) => {
            warn!(state.logger, "failed to write the decider key to the store; retrying the \
                takeover"; "zone" => %zone, "error" => %error);
            None
        }
    }
}
