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

/// Tag of log records that state why a request was refused, lost, stopped or ended. Their rate
/// limit is higher than that of other records.
pub const OUTCOME_TAG: &str = "outcome";

/// Maximum number of log records of one event written per second. The scheduler of the users'
/// largest day writes 151 a second of its most frequent event.
const MAX_RECORDS_PER_SECOND: u64 = 500;

/// As [`MAX_RECORDS_PER_SECOND`], for outcomes, warnings and errors. A line takes 2 us of processor
/// time without the system call that writes it, so one event at this rate takes 0.4% of a core.
const MAX_OUTCOMES_PER_SECOND: u64 = 2000;

/// Number of events with a rate limit of their own; all others share one. The daemons have about a
/// hundred, and no event is named after variable data.
const MAX_COUNTED_EVENTS: usize = 512;

/// Name of the rate limit shared by events beyond [`MAX_COUNTED_EVENTS`].
const OTHER_EVENTS: &str = "others";

/// Record counts of one event.
#[derive(Debug, Default)]
struct EventCount {
    /// The current second in the upper half, and the records written in it in the lower half.
    window: AtomicU64,
    /// Dropped records that haven't been logged as such yet.
    dropped: AtomicU64,
}

impl EventCount {
    /// Counts a record; false if `max` records of this second have been admitted.
    fn admit(&self, second: u64, max: u64) -> bool {
        let increment = |window: u64| {
            let is_same_second = window >> 32 == second;
            Some(if is_same_second {
                window + 1
            } else {
                second << 32 | 1
            })
        };
        let previous = self
            .window
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, increment);
        let previous = previous.unwrap_or_else(|window| window);
        let admitted = previous >> 32 != second || previous & u64::from(u32::MAX) < max;
        if !admitted {
            self.dropped.fetch_add(1, Ordering::AcqRel);
        }
        admitted
    }
}

type EventCounts = BTreeMap<Arc<str>, Arc<EventCount>>;

/// Limits the log rate of each event, and logs once a second how many records were dropped.
///
/// Without a limit, a frequent event fills the writer's queue, which then drops records of any
/// event.
#[derive(Debug)]
pub(crate) struct EventLimits<D> {
    inner: D,
    started_at: Instant,
    counts: ArcSwap<EventCounts>,
    /// The second in which the dropped records were last summarised.
    last_summary_second: AtomicU64,
}

impl<D: Drain<Ok = ()>> EventLimits<D> {
    pub(crate) fn new(inner: D) -> Self {
        Self {
            inner,
            started_at: Instant::now(),
            counts: ArcSwap::default(),
            last_summary_second: AtomicU64::new(0),
        }
    }

    fn event_count(&self, event: &str) -> Arc<EventCount> {
        if let Some(count) = self.counts.load().get(event) {
            return Arc::clone(count);
        }
        self.counts.rcu(|counts| {
            let name = if counts.len() < MAX_COUNTED_EVENTS {
                event
            } else {
                OTHER_EVENTS
            };
            let mut updated = EventCounts::clone(counts);
            updated.entry(Arc::from(name)).or_default();
            updated
        });
        let counts = self.counts.load();
        let count = counts.get(event).or_else(|| counts.get(OTHER_EVENTS));
        count.cloned().unwrap_or_default()
    }

    /// Logs the records dropped in earlier seconds by event, if there are any.
    fn log_dropped(&self, second: u64, values: &OwnedKVList) -> Result<(), D::Err> {
        let previous = self.last_summary_second.swap(second, Ordering::AcqRel);
        if previous == second {
            return Ok(());
        }
        let mut total = 0;
        let mut events = String::new();
        for (event, count) in self.counts.load().iter() {
            let dropped = count.dropped.swap(0, Ordering::AcqRel);
            if dropped > 0 {
                total += dropped;
                let separator = if events.is_empty() { "" } else { ", " };
                // Writing to a string doesn't fail.
                let _ = write!(events, "{separator}{event}={dropped}");
            }
        }
        if total == 0 {
            return Ok(());
        }
        self.inner.log(
            &slog::record!(
                Level::Warning,
                "",
                &format_args!("log records over the rate limit dropped"),
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
        // Seconds are counted from 1, so that the initial value 0 of a window is in the past.
        let second = self.started_at.elapsed().as_secs() + 1;
        self.log_dropped(second, values)?;
        let event = record
            .msg()
            .as_str()
            .map_or_else(|| Cow::Owned(record.msg().to_string()), Cow::Borrowed);
        let is_outcome = record.tag() == OUTCOME_TAG || record.level().is_at_least(Level::Warning);
        let max = if is_outcome {
            MAX_OUTCOMES_PER_SECOND
        } else {
            MAX_RECORDS_PER_SECOND
        };
        if self.event_count(&event).admit(second, max) {
            self.inner.log(record, values)
        } else {
            Ok(())
        }
    }
}
