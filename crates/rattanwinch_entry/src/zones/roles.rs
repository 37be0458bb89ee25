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

/// How often the roles are looked at: a fraction of the 300 ms between two ranks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// A role with what runs for it.
enum RunningRole {
    /// Another entry decides, or none does.
    Following(Role<Following>),
    /// The decider key is being written.
    Claiming(Role<Following>, oneshot::Receiver<Option<Epoch>>),
    /// The zone's task reads the records.
    Adopting(Role<Adopting>, ZoneHandle, JoinHandle<()>),
    /// The zone's task decides.
    Deciding(Role<Deciding>, JoinHandle<()>),
}

/// Watches the other entries and takes over, and gives up, the zones of the configuration until
/// the daemon stops.
pub(crate) async fn run<S: Store>(state: Arc<EntryState<S>>, shutdown: Shutdown) {
    let mut roles = Roles {
        state,
        peers: Peers::default(),
        zones: BTreeMap::new(),
        registration: Registration::default(),
        pinged_at: Timestamp::ZERO,
        draining: false,
    };
    while !shutdown.is_requested() {
        roles.look();
        tokio::select! {
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
            () = shutdown.requested() => {}
        }
    }
    roles.give_up_all();
}

struct Roles<S> {
    state: Arc<EntryState<S>>,
    peers: Peers,
    zones: BTreeMap<ZoneName, RunningRole>,
    registration: Registration,
    pinged_at: Timestamp,
    draining: bool,
}

impl<S: Store> Roles<S> {
    fn look(&mut self) {
        let now = self.state.clock.now();
        self.look_at_peers(now);
        let draining = self.state.draining.load(Ordering::Acquire);
        if draining && !self.draining {
            self.draining = true;
            // The next ping tells the others that the zones are without a decider.
            self.give_up_all();
            self.pinged_at = Timestamp::ZERO;
        }
        self.registration.look(&self.state, now);
        if now.since(self.pinged_at) >= PING_INTERVAL {
            self.pinged_at = now;
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
                let role = self.look_at_role(&zone, role, now);
                self.zones.insert(zone, role);
            }
        }
    }

    fn look_at_peers(&mut self, now: Timestamp) {
        let own = &self.state.settings.entry;
        let control = self.state.control.load();
        let registered = control.entries.iter().map(|record| record.entry.clone());
        let registered: Vec<EntryName> = registered.filter(|entry| entry != own).collect();
        self.peers.set_registered(&registered, now);
        self.state.zones.forget_silent(&registered, now);
        for heard in self.state.zones.peers().into_iter().map(|(_, heard)| heard) {
            self.peers.record_state(heard.state, heard.at);
        }
    }

    fn look_at_role(&self, zone: &ZoneName, role: RunningRole, now: Timestamp) -> RunningRole {
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
                        let claim = claim(Arc::clone(&self.state), zone.clone(), replaced);
                        tokio::spawn(async move { tx.send(claim.await) });
                        RunningRole::Claiming(role, rx)
                    }
                    None => RunningRole::Following(role),
                }
            }
            RunningRole::Claiming(role, mut claim) => match claim.try_recv() {
                Ok(Some(epoch)) => self.adopt(zone, role.adopt(epoch)),
                Err(TryRecvError::Empty) => RunningRole::Claiming(role, claim),
                Ok(None) | Err(TryRecvError::Closed) => RunningRole::Following(role),
            },
            RunningRole::Adopting(role, handle, task) => {
                if task.is_finished() || role.is_deposed(&view, &self.peers) {
                    task.abort();
                    self.state.zones.remove(zone);
                    RunningRole::Following(role.follow())
                } else if handle.ready.load(Ordering::Acquire) {
                    info!(self.state.logger, "zone is decided here"; "zone" => %zone,
                        "epoch" => role.epoch().0);
                    RunningRole::Deciding(role.decide(), task)
                } else {
                    RunningRole::Adopting(role, handle, task)
                }
            }
            RunningRole::Deciding(role, task) => {
                if task.is_finished() || role.is_deposed(&view, &self.peers) {
                    warn!(self.state.logger, "another entry decides the zone"; "zone" => %zone);
                    task.abort();
                    self.state.zones.remove(zone);
                    RunningRole::Following(role.follow())
                } else {
                    RunningRole::Deciding(role, task)
                }
            }
        }
    }

    fn adopt(&self, zone: &ZoneName, role: Role<Adopting>) -> RunningRole {
        counter!("zone_takeovers_total").increment(1);
        let (handle, task) = decider::start(&self.state, zone, role.epoch());
        self.state.zones.insert(zone, &handle);
        RunningRole::Adopting(role, handle, tokio::spawn(task))
    }

    /// Stops deciding all zones. The store and the agents hold all that the next decider needs.
    fn give_up_all(&mut self) {
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

/// Writes the decider key in place of the one at `replaced`; the epoch if that succeeded.
async fn claim<S: Store>(
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
            warn!(state.logger, "takeover wasn't written"; "zone" => %zone, "error" => %error);
            None
        }
    }
}
