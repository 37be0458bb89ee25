use std::sync::Arc;
use std::time::Duration;

use rattanwinch_platform::records::EntryRecord;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;

use crate::zones::DeciderKeys;

/// How long a control read keeps an entry's view fresh, from when the read was sent. Together with
/// an agent's 2 s, this keeps the delay of a closure below its limit of 5 s.
const CONTROL_VIEW_FRESHNESS: Duration = Duration::from_millis(1500);

/// The maximum time by which one heartbeat extends an agent's freshness.
const MAX_AGENT_FRESHNESS: Duration = Duration::from_secs(2);

/// A configuration revision that this entry knows of, and when it became known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRevision {
    /// The revision.
    pub revision: Revision,
    /// When the revision became known. Only control reads sent later have to show it.
    pub at: Timestamp,
}

impl KnownRevision {
    /// The initial value, before another process has reported a revision.
    pub const NONE: Self = Self {
        revision: Revision(0),
        at: Timestamp::ZERO,
    };

    /// The higher of this revision and one that became known at `now`.
    pub fn raised_to(self, revision: Revision, now: Timestamp) -> Self {
        if revision > self.revision {
            Self { revision, at: now }
        } else {
            self
        }
    }
}

/// The state of the store's control keys as of the last control read.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlView {
    /// The revision of the configuration document; 0 before there is one.
    pub revision: Revision,
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// The decider keys of all zones by their keys in the store. They are decoded once per read,
    /// because every update of a role looks one up.
    pub deciders: DeciderKeys,
    /// The registrations of all entries. They are decoded once per read, because every heartbeat
    /// response lists them.
    pub entries: Arc<[EntryRecord]>,
    /// When the last successful control read was sent.
    pub confirmed_at: Option<Timestamp>,
    /// The id of the store that was read; a different id means different data.
    pub cluster: Option<u64>,
    /// Whether the store has reverted to a revision older than one that this entry, a peer or an
    /// agent knows. Scheduling is then suspended until an operator has restarted the entries.
    pub regressed: bool,
}

impl ControlView {
    /// How long an agent may start tasks, counted from when it sent the heartbeat that is answered
    /// at `now`: the remainder of the entry's own freshness, at most 2 s.
    pub fn freshness(&self, now: Timestamp) -> Duration {
        if self.regressed {
            return Duration::ZERO;
        }
        now.until(self.fresh_until()).min(MAX_AGENT_FRESHNESS)
    }

    /// The time since the view became stale; zero while it is fresh.
    pub fn stale_for(&self, now: Timestamp) -> Duration {
        self.fresh_until().until(now)
    }

    fn fresh_until(&self) -> Timestamp {
        self.confirmed_at
            .map_or(Timestamp::ZERO, |at| at + CONTROL_VIEW_FRESHNESS)
    }
}
