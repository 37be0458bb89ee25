use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::AttemptKey;
use rattanwinch_types::Epoch;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

/// Minimum retention of a tombstone. TCP gives up on an unanswered segment after about 15 min with
/// Linux's default of 15 retries, so no copy of a message arrives later.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(20 * 60);

/// Maximum number of tombstones, at most 1.5 MB of the agent's 32 MB. They allow 3 ended members a
/// second for the whole retention; a worker at the two-year size has a few a day.
pub const MAX_TOMBSTONES: usize = 4096;

rattanwinch_types::value! {
    /// Record that attempts at a job up to a number never start here again.
    pub(super) struct Tombstone {
        /// Highest barred attempt; lower ones are barred as well.
        pub attempt: u32,
        /// Whether that attempt ran here.
        pub verdict: Verdict,
        /// Highest epoch known at the time of the record.
        pub epoch: Epoch,
        /// When it was recorded.
        pub recorded_at: Timestamp,
    }
}

/// Attempts that never start here again.
///
/// A tombstone is needed as long as a copy of a hold can arrive after the member ended, because an
/// equally late release could follow. It is dropped in two cases only. Either a decider of the
/// highest epoch answered a heartbeat that was sent more than [`TOMBSTONE_RETENTION`] after the
/// record, so that no copy is on its way and the decider wasn't frozen all the time. Or space is
/// needed and the highest epoch exceeds the tombstone's, so that each late copy is refused as
/// fenced. Otherwise the table is full, and new holds are refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Tombstones {
    by_job: BTreeMap<RequestKey, Tombstone>,
}

impl Tombstones {
    /// The number of tombstones.
    pub fn len(&self) -> usize {
        self.by_job.len()
    }

    /// Returns the tombstone that bars an attempt.
    pub fn covering(&self, attempt: &AttemptKey) -> Option<&Tombstone> {
        let tombstone = self.by_job.get(&attempt.key)?;
        (attempt.attempt <= tombstone.attempt).then_some(tombstone)
    }

    /// Returns whether a barred attempt ran here; `None` if it isn't barred.
    pub fn verdict(&self, attempt: &AttemptKey) -> Option<Verdict> {
        let tombstone = self.covering(attempt)?;
        Some(if attempt.attempt == tombstone.attempt {
            tombstone.verdict
        } else {
            // Only the latest attempt's verdict is kept.
            Verdict::MayHaveRun
        })
    }

    /// Drops fenced tombstones until `count` more fit; returns false, and drops none, if too few
    /// are fenced.
    pub fn ensure_capacity(&mut self, count: usize, highest_epoch: Epoch) -> bool {
        let missing = (self.len() + count).saturating_sub(MAX_TOMBSTONES);
        if missing == 0 {
            return true;
        }
        let fenced = self
            .by_job
            .iter()
            .filter(|(_, tombstone)| tombstone.epoch < highest_epoch);
        let mut fenced: Vec<_> = fenced
            .map(|(key, tombstone)| (tombstone.recorded_at, key.clone()))
            .collect();
        if fenced.len() < missing {
            return false;
        }
        fenced.sort_unstable();
        for (_, key) in fenced.into_iter().take(missing) {
            self.by_job.remove(&key);
        }
        true
    }

    /// Bars an attempt and all lower ones.
    pub fn record(&mut self, attempt: &AttemptKey, tombstone: Tombstone) {
        let entry = self.by_job.entry(attempt.key.clone());
        entry
            .and_modify(|known| {
                if known.attempt < tombstone.attempt {
                    known.attempt = tombstone.attempt;
                    known.verdict = tombstone.verdict;
                } else if known.attempt == tombstone.attempt {
                    known.verdict = known.verdict.max(tombstone.verdict);
                }
                known.epoch = known.epoch.max(tombstone.epoch);
                known.recorded_at = known.recorded_at.max(tombstone.recorded_at);
            })
            .or_insert(tombstone);
    }

    /// Drops tombstones that are no longer needed after the decider answered a heartbeat sent at
    /// `sent_at`.
    pub fn drop_expired(&mut self, sent_at: Timestamp) {
        self.by_job
            .retain(|_, tombstone| sent_at <= tombstone.recorded_at + TOMBSTONE_RETENTION);
    }
}
