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
use super::store_calls::job_pointer;
use crate::entry_state::EntryState;

/// The maximum number of jobs moved concurrently, so that closing a zone does not use up the
/// store's budget.
const MAX_CONCURRENT_MOVES: usize = 16;

impl<S: Store> ZoneDecider<S> {
    /// Whether the zone counts as lost. The move itself is one compare-and-swap on the record and
    /// the epoch, so it is safe even if the zone comes back.
    fn is_zone_lost(&self, now: Timestamp) -> bool {
        let heartbeats = self
            .workers
            .0
            .values()
            .map(|worker| worker.last_heartbeat_at);
        let last_heartbeat_at = heartbeats.fold(self.started_at, Ord::max);
        let live_zones = self.state.fleet.live_zones(now);
        let reachability = ZoneReachability {
            silent_for: now.since(last_heartbeat_at),
            other_zones_reachable: live_zones.iter().any(|zone| *zone != self.zone),
            peers_confirm_silence: self.state.peers_see_no_agents(&self.zone, now),
        };
        reachability.is_lost()
    }

    /// Moves waiting jobs out of a closed or lost zone if another zone is open.
    pub(super) fn move_queued_jobs(&mut self, now: Timestamp) {
        let control = self.state.control.load_full();
        let closed = control.config.zone_closure(&self.zone).is_some();
        if !control.is_fresh(now) || !(closed || self.is_zone_lost(now)) {
            return;
        }
        let mut candidates = self.state.zone_candidates();
        candidates.retain(|candidate| candidate.summary.zone != self.zone);
        let waiting = self.gangs.queued_keys();
        let waiting: Vec<_> = waiting.filter(|key| !self.moving.contains(key)).collect();
        let available = MAX_CONCURRENT_MOVES.saturating_sub(self.moving.len());
        let chosen = waiting.into_iter().take(available).filter_map(|key| {
            let (record, revision) = self.gangs.queued_record(key)?;
            let spec = &record.spec;
            let organisation = &spec.key.organisation;
            let zone = choose_zone(&control.config, &candidates, organisation, spec.shape)?;
            Some((record.clone(), revision, zone))
        });
        for (record, revision, zone) in chosen.collect::<Vec<_>>() {
            let (state, epoch) = (Arc::clone(&self.state), self.epoch);
            let key = record.spec.key.clone();
            let accelerators = record.spec.shape.accelerators();
            self.state.zones.record_sent_job(&zone, accelerators, now);
            self.moving.insert(key.clone());
            self.spawn_call(async move {
                let moved = state.move_record(epoch, record, revision, &zone).await;
                Response::Moved(key, zone, moved)
            });
        }
    }

    /// Handles the result of a move.
    pub(super) fn handle_move(
        &mut self,
        key: &RequestKey,
        zone: &ZoneName,
        moved: bool,
        now: Timestamp,
    ) {
        self.moving.remove(key);
        if moved {
            counter!("jobs_moved_total").increment(1);
            self.gangs.remove_queued(key);
            self.reply_to_waiters(key);
            self.state.spawn_enqueue(zone, key);
        } else {
            self.gangs.record_explanation(
                key,
                "could not be moved out of the closed or lost zone yet",
                now,
            );
        }
    }
}

impl<S: Store> EntryState<S> {
    /// Moves a job's record and pointer to another zone in one transaction.
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
                job_pointer(&moved).encode(),
                Retention::Permanent,
            );
        match self.store.transact(transaction).await {
            Ok(outcome) => matches!(outcome, TransactionOutcome::Applied(_)),
            Err(error) => {
                warn!(self.logger, "failed to move the job to another zone in the store";
                    "job" => %key, "error" => %error);
                false
            }
        }
    }
}
