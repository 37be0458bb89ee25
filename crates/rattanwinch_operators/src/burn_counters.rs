use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use imbl::HashMap;
use rattanwinch_decisions::BurnWindows;
use rattanwinch_decisions::MAX_BURN_ORGANISATIONS;
use rattanwinch_decisions::RequestCount;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

/// The good and bad requests of one organisation since the last drain.
#[derive(Debug, Default)]
struct BurnCounter {
    good: AtomicU64,
    bad: AtomicU64,
}

impl BurnCounter {
    fn record(&self, good: bool) {
        let counter = if good { &self.good } else { &self.bad };
        // No other memory is read based on this count, so relaxed ordering is enough.
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn take(&self) -> RequestCount {
        RequestCount {
            good: self.good.swap(0, Ordering::Relaxed),
            bad: self.bad.swap(0, Ordering::Relaxed),
        }
    }
}

/// Per-organisation request counters, updated on the request path with atomics only; a background
/// task drains them into [`BurnWindows`].
///
/// Only the first request of an organisation replaces the map, by compare-and-swap.
#[derive(Debug, Default)]
pub struct BurnCounters {
    counters: ArcSwap<HashMap<Organisation, Arc<BurnCounter>>>,
    untracked: AtomicU64,
}

impl BurnCounters {
    /// Creates counters without any organisations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request.
    pub fn record(&self, organisation: &Organisation, good: bool) {
        if let Some(counter) = self.counters.load().get(organisation) {
            counter.record(good);
            return;
        }
        let new_counter = Arc::new(BurnCounter::default());
        self.counters.rcu(|counters| {
            let full = counters.len() >= MAX_BURN_ORGANISATIONS;
            if full || counters.contains_key(organisation) {
                Arc::clone(counters)
            } else {
                Arc::new(counters.update(organisation.clone(), Arc::clone(&new_counter)))
            }
        });
        match self.counters.load().get(organisation) {
            Some(counter) => counter.record(good),
            None => {
                self.untracked.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Moves all counts to `windows`; meant for one background task, every few seconds.
    pub fn drain_into(&self, windows: &mut BurnWindows, now: Timestamp) {
        for (organisation, counter) in self.counters.load().iter() {
            let count = counter.take();
            if count.total() > 0 {
                windows.add(organisation, count, now);
            }
        }
    }

    /// The number of requests of organisations beyond [`MAX_BURN_ORGANISATIONS`], which are not
    /// counted per organisation.
    #[must_use]
    pub fn untracked(&self) -> u64 {
        self.untracked.load(Ordering::Relaxed)
    }
}
