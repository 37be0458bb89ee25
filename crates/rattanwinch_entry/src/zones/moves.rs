use std::sync::Arc;

use metrics::counter;
use rattanwinch_decisions::ZoneReachability;
use rattanwinch_decisions::choose_zone;
use rattanwinch_platform::Condition;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::StoredJob;
use rattanwinch_types::Epoch;
use rattanwinch_types::JobRecord;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use slog::warn;

use super::decider::ZoneDecider;
use super::message::Response;
use super::store_calls::pointer_to;
use crate::entry_state::EntryState;

/// Jobs that are moved at the same time, so that a closing doesn't use up the store's budget.
const MAX_MOVING: usize = 16;

impl<S: Store> ZoneDecider<S> {
    /// Whether the zone counts as lost. The move itself is one compare-and-swap on the record and
    /// the epoch, so it is safe if the zone comes back.
    fn is_zone_lost(&self, now: Timestamp) -> bool {
        let heard = self.workers.0.values().map(|worker| worker.heard_at);
        let heard_at = heard.fold(self.began_at, Ord::max);
        let hears = self.state.fleet.heard_zones(now);
        let signs = ZoneReachability {
            silent_for: now.since(heard_at),
            other_zones_reachable: hears.iter().any(|zone| *zone != self.zone),
            peers_confirm_silence: self.state.others_hear_none(&self.zone, now),
        };
        signs.is_lost()
    }

    /// Moves jobs that wait out of a closed or lost zone, while another one is open.
    pub(super) fn move_queued(&mut self, now: Timestamp) {
        let control = self.state.control.load_full();
        let closed = control.config.zone_closure(&self.zone).is_some();
        if !control.is_fresh(now) || !(closed || self.is_zone_lost(now)) {
            return;
        }
        let mut offers = self.state.zone_offers();
        offers.retain(|offer| offer.summary.zone != self.zone);
        let waiting = self.gangs.queued_keys();
        let waiting: Vec<_> = waiting.filter(|key| !self.moving.contains(key)).collect();
        let room = MAX_MOVING.saturating_sub(self.moving.len());
        let chosen = waiting.into_iter().take(room).filter_map(|key| {
            let (record, revision) = self.gangs.queued_record(key)?;
            let spec = &record.spec;
            let organisation = &spec.key.organisation;
            let zone = choose_zone(&control.config, &offers, organisation, spec.shape)?;
            Some((record.clone(), revision, zone))
        });
        for (record, revision, zone) in chosen.collect::<Vec<_>>() {
            let (state, epoch) = (Arc::clone(&self.state), self.epoch);
            let key = record.spec.key.clone();
            let accelerators = record.spec.shape.accelerators();
            self.state.zones.count_sent(&zone, accelerators, now);
            self.moving.insert(key.clone());
            self.respond(async move {
                let moved = state.move_record(epoch, record, revision, &zone).await;
                Response::Moved(key, zone, moved)
            });
        }
    }

    /// Takes in the outcome of a move.
    pub(super) fn moved(&mut self, key: &RequestKey, zone: &ZoneName, moved: bool, now: Timestamp) {
        self.moving.remove(key);
        if moved {
            counter!("jobs_moved_total").increment(1);
            self.gangs.remove_queued(key);
            self.answer_finished(key);
            self.state.hand_to_decider(zone, key);
        } else {
            self.gangs.record_explanation(
                key,
                "couldn't be moved out of the closed or lost zone yet",
                now,
            );
        }
    }
}

impl<S: Store> EntryState<S> {
    /// Moves a job's record and its pointer to another zone in one transaction.
    async fn move_record(
        &self,
        epoch: Epoch,
        record: JobRecord,
        revision: Revision,
        zone: &ZoneName,
    ) -> bool {
        let key = record.spec.key.clone();
        let (old, new) = (keys::job(&record.zone, &key), keys::job(zone, &key));
        let moved = JobRecord {
            zone: zone.clone(),
            state: RecordedState::Queued,
            ..record.clone()
        };
        let transaction = Transaction::new()
            .with_condition(Condition::ModifiedAt(Arc::clone(&old), revision))
            .with_condition(Condition::ModifiedAt(
                keys::decider(&record.zone),
                Revision(epoch.0),
            ))
            .with_condition(Condition::Absent(Arc::clone(&new)))
            .with_delete(old)
            .with_put(new, StoredJob::encode(&moved), Retention::Permanent)
            .with_put(
                keys::request_id(&key),
                pointer_to(&moved).encode(),
                Retention::Permanent,
            );
        match self.store.transact(transaction).await {
            Ok(outcome) => matches!(outcome, TransactionOutcome::Applied(_)),
            Err(error) => {
                warn!(self.logger, "job wasn't moved"; "job" => %key, "error" => %error);
                false
            }
        }
    }
}
