use std::sync::Arc;
use std::time::Duration;

use rattanwinch_platform::records::EntryRecord;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;

use crate::zones::DeciderKeys;

/// How long a successful control read keeps an entry's view fresh, from when it was sent. With
/// an agent's 2 s it keeps a closing under its bound of 5 s.
const FRESH_FOR: Duration = Duration::from_millis(1500);

/// The longest that one heartbeat extends an agent's freshness.
const AGENT_FRESH_FOR: Duration = Duration::from_secs(2);

/// A revision of the configuration that this entry knows of, and since when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRevision {
    /// The revision.
    pub revision: Revision,
    /// When it became known. Only a control read that was sent later has to show it.
    pub at: Timestamp,
}

impl KnownRevision {
    /// What is known before anyone told of a revision.
    pub const NONE: Self = Self {
        revision: Revision(0),
        at: Timestamp::ZERO,
    };

    /// The higher one of this and a revision that became known at `now`.
    pub fn or_higher(self, revision: Revision, now: Timestamp) -> Self {
        if revision > self.revision {
            Self { revision, at: now }
        } else {
            self
        }
    }
}

/// What an entry last read of the store's control keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlView {
    /// The revision of the configuration document; 0 before there is one.
    pub revision: Revision,
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// The decider keys of all zones by their keys in the store, decoded once a read: each look
    /// at a role asks for one.
    pub deciders: DeciderKeys,
    /// The registrations of all entries, decoded once a read: each response to a heartbeat lists
    /// them.
    pub entries: Arc<[EntryRecord]>,
    /// When the last successful control read was sent.
    pub confirmed_at: Option<Timestamp>,
    /// Which store was read; another id means other data.
    pub cluster: Option<u64>,
    /// Whether the store has gone back behind a revision that this entry, a peer or an agent
    /// knows. Nothing is decided until an operator has restarted the entries.
    pub regressed: bool,
}

impl ControlView {
    /// How long an agent may start tasks, counted from when it sent the heartbeat that is
    /// answered at `now`: what is left of the entry's own freshness, at most 2 s.
    pub fn freshness(&self, now: Timestamp) -> Duration {
        if self.regressed {
            return Duration::ZERO;
        }
        now.until(self.fresh_until()).min(AGENT_FRESH_FOR)
    }

    /// How long ago the view ceased to be fresh; zero while it is fresh.
    pub fn stale_for(&self, now: Timestamp) -> Duration {
        self.fresh_until().until(now)
    }

    fn fresh_until(&self) -> Timestamp {
        self.confirmed_at
            .map_or(Timestamp::ZERO, |at| at + FRESH_FOR)
    }
}
