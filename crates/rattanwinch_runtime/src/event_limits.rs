use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use arc_swap::ArcSwap;
use slog::Drain;
use slog::Level;
use slog::OwnedKVList;
use slog::Record;
use slog::b;

/// The tag of records that tell why a request was refused, lost, stopped or ended: they are left
/// out last.
pub const OUTCOME: &str = "outcome";

/// Records of one event that are written in a second. The scheduler of the users' largest day
/// writes 151 a second of its most frequent event.
const MOST_EACH: u64 = 500;

/// As [`MOST_EACH`], for outcomes, warnings and errors. A line takes 2 us of processor time without
/// the system's call to write it, so one event at this rate takes 0.4% of a core.
const MOST_OUTCOMES: u64 = 2000;

/// Different events that are counted by name; others share one count. The daemons have about a
/// hundred, and none takes its name from a message.
const MOST_EVENTS: usize = 512;

/// The shared count of events beyond [`MOST_EVENTS`].
const OTHERS: &str = "others";

/// How often one event was logged.
#[derive(Debug, Default)]
struct EventCount {
    /// The second, in the upper half, and the records in it.
    window: AtomicU64,
    /// Records that were left out and haven't been told of.
    left_out: AtomicU64,
}

impl EventCount {
    /// Counts one more record; false if there were `most` of them in this second.
    fn admit(&self, second: u64, most: u64) -> bool {
        let counted = |window: u64| {
            let same = window >> 32 == second;
            Some(if same { window + 1 } else { second << 32 | 1 })
        };
        let before = self
            .window
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, counted);
        let before = before.unwrap_or_else(|window| window);
        let admitted = before >> 32 != second || before & u64::from(u32::MAX) < most;
        if !admitted {
            self.left_out.fetch_add(1, Ordering::AcqRel);
        }
        admitted
    }
}

type EventCounts = BTreeMap<Arc<str>, Arc<EventCount>>;

/// Bounds the records of each event, and tells once a second what was left out.
///
/// Without a bound one event that comes in masses fills the queue of the writer, which then drops
/// whatever comes next.
#[derive(Debug)]
pub(crate) struct EventLimits<D> {
    inner: D,
    began_at: Instant,
    counts: ArcSwap<EventCounts>,
    /// The second in which was looked last for what was left out.
    told_in: AtomicU64,
}

impl<D: Drain<Ok = ()>> EventLimits<D> {
    pub(crate) fn new(inner: D) -> Self {
        Self {
            inner,
            began_at: Instant::now(),
            counts: ArcSwap::default(),
            told_in: AtomicU64::new(0),
        }
    }

    fn count_of(&self, event: &str) -> Arc<EventCount> {
        if let Some(count) = self.counts.load().get(event) {
            return Arc::clone(count);
        }
        self.counts.rcu(|counts| {
            let name = if counts.len() < MOST_EVENTS {
                event
            } else {
                OTHERS
            };
            let mut more = EventCounts::clone(counts);
            more.entry(Arc::from(name)).or_default();
            more
        });
        let counts = self.counts.load();
        let count = counts.get(event).or_else(|| counts.get(OTHERS));
        count.cloned().unwrap_or_default()
    }

    /// Writes one line on what was left out in earlier seconds, if anything was.
    fn tell(&self, second: u64, values: &OwnedKVList) -> Result<(), D::Err> {
        let before = self.told_in.swap(second, Ordering::AcqRel);
        if before == second {
            return Ok(());
        }
        let mut total = 0;
        let mut events = String::new();
        for (event, count) in self.counts.load().iter() {
            let left_out = count.left_out.swap(0, Ordering::AcqRel);
            if left_out > 0 {
                total += left_out;
                let separator = if events.is_empty() { "" } else { ", " };
                // Writing to a string doesn't fail.
                let _ = write!(events, "{separator}{event}={left_out}");
            }
        }
        if total == 0 {
            return Ok(());
        }
        self.inner.log(
            &slog::record!(
                Level::Warning,
                "",
                &format_args!("records left out"),
                b!("records" => total, "events" => events)
            ),
            values,
        )
    }
}

impl<D: Drain<Ok = ()>> Drain for EventLimits<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        // Seconds are counted from 1, so that an empty window belongs to none.
        let second = self.began_at.elapsed().as_secs() + 1;
        self.tell(second, values)?;
        let event = record
            .msg()
            .as_str()
            .map_or_else(|| Cow::Owned(record.msg().to_string()), Cow::Borrowed);
        let is_outcome = record.tag() == OUTCOME || record.level().is_at_least(Level::Warning);
        let most = if is_outcome { MOST_OUTCOMES } else { MOST_EACH };
        if self.count_of(&event).admit(second, most) {
            self.inner.log(record, values)
        } else {
            Ok(())
        }
    }
}
