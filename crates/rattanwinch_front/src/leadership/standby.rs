use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LEADER_KEY;
use rattanwinch_fleet::LeaderRecord;
use rattanwinch_site_store::CommitOutcome;
use rattanwinch_site_store::Item;
use rattanwinch_site_store::Lease;
use rattanwinch_site_store::Revision;
use rattanwinch_site_store::Transaction;
use slog::debug;
use slog::error;
use slog::info;
use slog::warn;
use tokio::task::JoinSet;

use crate::front_state::FrontState;
use crate::leadership::PING_INTERVAL;
use crate::leadership::PING_TIMEOUT;
use crate::leadership::Result;
use crate::leadership::SEARCH_BACKOFF;
use crate::leadership::elected::Elected;
use crate::leadership::find_leader;
use crate::local_leader::LEADER_LEASE_TTL;

/// Time without confirmation by the store after which a leader is replaced by a front that the
/// store answers: a renewal interval of 300 ms, the store's slowest answers by the users'
/// requirements, 240 ms, and a tenth more.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(600);

/// Answer time up to which the store counts as fast. If it answers this front fast, a leader that
/// it doesn't confirm has been rejected or partitioned from it. By the users' requirements its
/// usual answers take 4 ms.
const FAST_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Silence towards two fronts after which a leader is replaced before its lease has expired: a ping
/// interval and an unanswered ping, less the offset between the two fronts.
const LEADER_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a front waits with its claim if others have a larger share of a core: they notice the
/// lack of a leader within a ping interval, and claim with two calls to the store.
const SMALL_FRONT_CLAIM_DELAY: Duration = Duration::from_millis(450);

/// A front that isn't the leader.
pub(crate) struct Standby {
    pub state: Arc<FrontState>,
}

/// Result of pinging the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PingResult {
    /// The pinged front is the leader, and the store has confirmed its lease recently.
    Confirmed,
    /// The pinged front is the leader, and the store hasn't confirmed its lease for
    /// [`UNCONFIRMED_TIMEOUT`].
    Unconfirmed,
    Unanswered,
}

pub(crate) enum StandbyStep {
    Elected(Elected),
    Wait(Duration),
}

impl Standby {
    /// Runs one round: pings the leader, and tries to take over if it isn't confirmed.
    pub(crate) async fn step(&self) -> StandbyStep {
        let ping = match self.state.remote_leader() {
            Some(leader) => self.ping(&leader.client).await,
            None => PingResult::Unanswered,
        };
        if ping == PingResult::Confirmed {
            return StandbyStep::Wait(PING_INTERVAL);
        }
        match self.try_take_over(ping).await {
            Ok(Some(elected)) => return StandbyStep::Elected(elected),
            Ok(None) => {}
            // Other fronts may reach a store that this VM can't reach.
            Err(error) => {
                debug!(self.state.log, "leader key not read; asking the other fronts";
                    "error" => %error);
                if let Some(info) = find_leader(&self.state).await {
                    self.state.set_remote_leader(Some(info));
                }
            }
        }
        StandbyStep::Wait(SEARCH_BACKOFF)
    }

    async fn ping(&self, client: &FrontClient) -> PingResult {
        let asker = Some(self.state.info(self.state.clock.now()));
        let Ok(Some(status)) = client.leader(asker, PING_TIMEOUT).await else {
            return PingResult::Unanswered;
        };
        let info = status.leader;
        self.state.observe_cpu_percent(status.largest_cpu_percent);
        // Only a front's answer about itself counts; otherwise, standby fronts that repeat each
        // other's answers would hide that the leader has failed.
        if info.address != client.address() {
            return PingResult::Unanswered;
        }
        self.state.record_leader_contact(self.state.clock.now());
        self.state.set_remote_leader(Some(info));
        if status.cpu_percent < self.state.settings.cpu_percent() {
            self.offer_to_lead().await;
        }
        if status.confirmation_age < UNCONFIRMED_TIMEOUT {
            PingResult::Confirmed
        } else {
            PingResult::Unconfirmed
        }
    }

    /// Checks that the store answers this front; its next ping then offers the smaller leader to
    /// take over.
    async fn offer_to_lead(&self) {
        let sent_at = self.state.clock.now();
        match self.state.store.get(LEADER_KEY).await {
            Ok(_) => self.state.record_store_contact(sent_at),
            Err(error) => {
                self.state.record_store_failure(sent_at);
                debug!(self.state.log, "no offer to lead: the store doesn't answer";
                    "error" => %error);
            }
        }
    }

    /// Reads the leader key, and takes over if there is no leader or it has to be replaced.
    async fn try_take_over(&self, ping: PingResult) -> Result<Option<Elected>> {
        let state = &self.state;
        let asked_at = state.clock.now();
        let item = state.store.get(LEADER_KEY).await?;
        let is_fast = state.clock.now().since(asked_at) <= FAST_ANSWER_TIME;
        let Some(item) = item else {
            return self.claim(Revision::ABSENT).await;
        };
        let Some(record) = LeaderRecord::decode(&item.value) else {
            error!(state.log, "unreadable leader record; claiming leadership");
            return self.claim(item.mod_revision).await;
        };
        if record.vm == state.settings.vm.name && record.incarnation == state.incarnation {
            // This process claimed leadership earlier and the answer was lost.
            return Ok(item
                .lease
                .map(|lease| self.elected(record, item.mod_revision, lease)));
        }
        if record.vm == state.settings.vm.name {
            // The leader was an earlier process on this VM.
            return self.claim(item.mod_revision).await;
        }
        let known = state.remote_leader().map(|leader| leader.info);
        let present = record.info(item.mod_revision.0);
        state.set_remote_leader(Some(present));
        let unconfirmed = ping == PingResult::Unconfirmed && known == Some(present) && is_fast;
        if unconfirmed || self.others_confirm_silence().await {
            return self.replace_leader(&item).await;
        }
        Ok(None)
    }

    /// True if neither this front nor another one has had contact with the leader recently. Without
    /// a confirmation by another front, this one may be partitioned itself, and waits for the lease
    /// to expire.
    async fn others_confirm_silence(&self) -> bool {
        let state = &self.state;
        if state.leader_silence(state.clock.now()) < LEADER_SILENCE_TIMEOUT {
            return false;
        }
        let leader = state.remote_leader().map(|leader| leader.info.address);
        let mut queries = JoinSet::new();
        for front in state.sample_fronts() {
            if Some(front) != leader {
                queries.spawn(
                    async move { FrontClient::new(front).leader_silence(PING_TIMEOUT).await },
                );
            }
        }
        let mut confirmed = false;
        while let Some(answer) = queries.join_next().await {
            match answer {
                Ok(Ok(silence)) if silence < LEADER_SILENCE_TIMEOUT => return false,
                Ok(Ok(_)) => confirmed = true,
                Ok(Err(_)) | Err(_) => {}
            }
        }
        confirmed
    }

    /// Takes over from a leader whose lease may not have expired. The old leader's transactions
    /// fail from then on, and its next lease renewal fails, since the lease is revoked.
    async fn replace_leader(&self, present: &Item) -> Result<Option<Elected>> {
        let elected = self.claim(present.mod_revision).await?;
        if elected.is_some() {
            info!(self.state.log, "scheduler replaced before its lease ended";
                "silent_ms" => self.state.leader_silence(self.state.clock.now()).as_millis());
            if let Some(lease) = present.lease
                && let Err(error) = self.state.store.revoke(lease).await
            {
                warn!(self.state.log, "lease not revoked; it expires on its own";
                    "error" => %error);
            }
        }
        Ok(elected)
    }

    async fn claim(&self, present: Revision) -> Result<Option<Elected>> {
        let state = &self.state;
        if state.is_stopping() {
            return Ok(None);
        }
        if state.is_small() && self.is_claimed_by_larger(present).await? {
            return Ok(None);
        }
        let lease = state.store.grant(LEADER_LEASE_TTL).await?;
        let record = LeaderRecord {
            vm: Arc::clone(&state.settings.vm.name),
            incarnation: state.incarnation,
            address: state.address,
            epoch: None,
            transaction_count: 0,
        };
        let claim = Transaction {
            conditions: vec![(LEADER_KEY.to_owned(), present)],
            puts: vec![(LEADER_KEY.to_owned(), record.encode(), Some(lease))],
            deletes: Vec::new(),
        };
        match state.store.commit(&claim).await? {
            CommitOutcome::Done(revision) => Ok(Some(self.elected(record, revision, lease))),
            CommitOutcome::Conflict(_) | CommitOutcome::LeaseEnded => Ok(None),
        }
    }

    /// Leaves the claim to fronts with a larger share of a core for a while; true if one has
    /// claimed leadership meanwhile.
    async fn is_claimed_by_larger(&self, present: Revision) -> Result<bool> {
        tokio::time::sleep(SMALL_FRONT_CLAIM_DELAY).await;
        let item = self.state.store.get(LEADER_KEY).await?;
        let revision = item.map_or(Revision::ABSENT, |item| item.mod_revision);
        // A deleted key is no claim.
        Ok(revision != present && revision != Revision::ABSENT)
    }

    fn elected(&self, mut record: LeaderRecord, revision: Revision, lease: Lease) -> Elected {
        let epoch = record.info(revision.0).epoch;
        record.epoch = Some(epoch);
        info!(self.state.log, "elected"; "epoch" => epoch);
        self.state.observe_epoch(epoch);
        Elected {
            state: Arc::clone(&self.state),
            record,
            revision,
            lease,
            epoch,
        }
    }
}
