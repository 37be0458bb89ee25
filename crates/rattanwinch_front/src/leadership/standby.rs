use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LEADER_KEY;
use rattanwinch_fleet::LeaderRecord;
use rattanwinch_site_store::Committed;
use rattanwinch_site_store::Item;
use rattanwinch_site_store::Lease;
use rattanwinch_site_store::Revision;
use rattanwinch_site_store::Transaction;
use slog::error;
use slog::info;
use slog::warn;
use tokio::task::JoinSet;

use crate::front_state::FrontState;
use crate::leadership::PING_INTERVAL;
use crate::leadership::PING_LIMIT;
use crate::leadership::Result;
use crate::leadership::SEARCH_PAUSE;
use crate::leadership::ask_fronts;
use crate::leadership::elected::Elected;
use crate::leading::LEADER_LEASE;

/// A scheduler that says that the store hasn't confirmed it for so long is replaced by a front
/// that the store does answer: a renewal interval and the store's slowest answers on the users'
/// sheets, 240 ms, and a tenth more.
const UNCONFIRMED_AFTER: Duration = Duration::from_millis(600);

/// An answer within this shows that the store isn't slow, so that a scheduler it doesn't confirm
/// is turned away by it or cut off. Its ordinary answers on the users' sheets take 4 ms.
const QUICK_ANSWER: Duration = Duration::from_millis(150);

/// A scheduler that two fronts haven't heard for so long is replaced before its lease has run
/// out: an interval and an unanswered question, less the time by which the two differ.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// A front that doesn't schedule.
pub(crate) struct Standby {
    pub state: Arc<FrontState>,
}

/// What the front that schedules said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    /// It schedules, and the store has confirmed it lately.
    Confirmed,
    /// It schedules, and the store hasn't confirmed it for a while.
    Unconfirmed,
    Nothing,
}

pub(crate) enum Step {
    Elected(Elected),
    Wait(Duration),
}

impl Standby {
    /// Asks the scheduler whether it still is one, and stands if it isn't; one round.
    pub(crate) async fn step(&self) -> Step {
        let heard = match self.state.leader() {
            Some(leader) => self.ask(&leader.client).await,
            None => Heard::Nothing,
        };
        if heard == Heard::Confirmed {
            return Step::Wait(PING_INTERVAL);
        }
        match self.stand(heard).await {
            Ok(Some(elected)) => return Step::Elected(elected),
            Ok(None) => {}
            // A store that is out of reach of this VM alone may serve the others.
            Err(error) => {
                slog::debug!(self.state.log, "the store can't be asked who schedules";
                    "error" => %error);
                if let Some(info) = ask_fronts(&self.state).await {
                    self.state.set_leader(Some(info));
                }
            }
        }
        Step::Wait(SEARCH_PAUSE)
    }

    async fn ask(&self, client: &FrontClient) -> Heard {
        let asker = Some(self.state.address);
        let Ok(Some(word)) = client.leader(asker, PING_LIMIT).await else {
            return Heard::Nothing;
        };
        let info = word.leader;
        // Only a front's word on itself counts: followers that quote each other would go on
        // believing in a scheduler that is gone.
        if info.address != client.address() {
            return Heard::Nothing;
        }
        self.state.note_leader_heard(self.state.clock.now());
        self.state.set_leader(Some(info));
        if word.confirmed_ago < UNCONFIRMED_AFTER {
            Heard::Confirmed
        } else {
            Heard::Unconfirmed
        }
    }

    /// Reads who schedules, and takes over if nobody does or the one that did is to be replaced.
    async fn stand(&self, heard: Heard) -> Result<Option<Elected>> {
        let state = &self.state;
        let asked_at = state.clock.now();
        let item = state.store.get(LEADER_KEY).await?;
        let quick = state.clock.now().since(asked_at) <= QUICK_ANSWER;
        let Some(item) = item else {
            return self.claim(Revision::ABSENT).await;
        };
        let Some(record) = LeaderRecord::decode(&item.value) else {
            error!(state.log, "unreadable leader record, replaced");
            return self.claim(item.changed).await;
        };
        if record.vm == state.settings.vm.name && record.incarnation == state.incarnation {
            // A claim of this process whose answer was lost.
            return Ok(item
                .lease
                .map(|lease| self.elected(record, item.changed, lease)));
        }
        if record.vm == state.settings.vm.name {
            // The process that held it ran on this VM before this one.
            return self.claim(item.changed).await;
        }
        let known = state.leader().map(|leader| leader.info);
        let present = record.info(item.changed.0);
        state.set_leader(Some(present));
        let unconfirmed = heard == Heard::Unconfirmed && known == Some(present) && quick;
        if unconfirmed || self.is_silent_for_others().await {
            return self.displace(&item).await;
        }
        Ok(None)
    }

    /// True if neither this front nor another one has heard the scheduler lately. A front that no
    /// other one confirms may be cut off itself, and waits for the end of the lease.
    async fn is_silent_for_others(&self) -> bool {
        let state = &self.state;
        if state.leader_silence(state.clock.now()) < SILENT_AFTER {
            return false;
        }
        let leader = state.leader().map(|leader| leader.info.address);
        let mut asked = JoinSet::new();
        for &front in state.fronts.load().iter() {
            if Some(front) != leader {
                asked
                    .spawn(async move { FrontClient::new(front).leader_silence(PING_LIMIT).await });
            }
        }
        let mut confirmed = false;
        while let Some(answer) = asked.join_next().await {
            match answer {
                Ok(Ok(silence)) if silence < SILENT_AFTER => return false,
                Ok(Ok(_)) => confirmed = true,
                Ok(Err(_)) | Err(_) => {}
            }
        }
        confirmed
    }

    /// Takes over from a scheduler whose lease may still hold. Its transactions fail from then
    /// on, and the end of its lease tells it that it has been replaced.
    async fn displace(&self, present: &Item) -> Result<Option<Elected>> {
        let elected = self.claim(present.changed).await?;
        if elected.is_some() {
            info!(self.state.log, "scheduler replaced before its lease ended";
                "silent_ms" => self.state.leader_silence(self.state.clock.now()).as_millis());
            if let Some(lease) = present.lease
                && let Err(error) = self.state.store.end(lease).await
            {
                warn!(self.state.log, "lease not ended"; "error" => %error);
            }
        }
        Ok(elected)
    }

    async fn claim(&self, present: Revision) -> Result<Option<Elected>> {
        let state = &self.state;
        if state.is_stopping() {
            return Ok(None);
        }
        let lease = state.store.grant(LEADER_LEASE).await?;
        let record = LeaderRecord {
            vm: Arc::clone(&state.settings.vm.name),
            incarnation: state.incarnation,
            address: state.address,
            epoch: None,
            change: 0,
        };
        let claim = Transaction {
            conditions: vec![(LEADER_KEY.to_owned(), present)],
            puts: vec![(LEADER_KEY.to_owned(), record.encode(), Some(lease))],
            deletes: Vec::new(),
        };
        match state.store.commit(&claim).await? {
            Committed::Done(revision) => Ok(Some(self.elected(record, revision, lease))),
            Committed::Conflict(_) | Committed::LeaseEnded => Ok(None),
        }
    }

    fn elected(&self, mut record: LeaderRecord, revision: Revision, lease: Lease) -> Elected {
        let epoch = record.info(revision.0).epoch;
        record.epoch = Some(epoch);
        info!(self.state.log, "elected"; "epoch" => epoch);
        self.state.note_epoch(epoch);
        Elected {
            state: Arc::clone(&self.state),
            record,
            revision,
            lease,
            epoch,
        }
    }
}
