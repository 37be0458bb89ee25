use std::time::Duration;

use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;

/// How long a successful control read keeps an entry's view fresh, from when it was sent. With
/// an agent's 2 s it keeps a closing under its bound of 5 s.
const FRESH_FOR: Duration = Duration::from_millis(1500);

/// The longest that one heartbeat extends an agent's freshness.
const AGENT_FRESH_FOR: Duration = Duration::from_secs(2);

/// How long agents take plain requests without a fresh view by default: the longest outage of
/// the store that the design covers (6 h).
const PLAIN_WHEN_STALE: Duration = Duration::from_secs(6 * 3600);

/// What an entry last read of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct ControlView {
    /// The revision of the configuration document.
    pub revision: Revision,
    /// When the last successful control read was sent.
    pub confirmed_at: Option<Timestamp>,
    /// How long after its freshness an agent still takes plain requests.
    pub plain_when_stale: Duration,
}

impl Default for ControlView {
    fn default() -> Self {
        Self {
            revision: Revision(0),
            confirmed_at: None,
            plain_when_stale: PLAIN_WHEN_STALE,
        }
    }
}

impl ControlView {
    /// How long an agent may start tasks, counted from when it sent the heartbeat that is
    /// answered at `now`: what is left of the entry's own freshness, at most 2 s.
    pub fn freshness(&self, now: Timestamp) -> Duration {
        let until = self
            .confirmed_at
            .map_or(Timestamp::ZERO, |at| at + FRESH_FOR);
        now.until(until).min(AGENT_FRESH_FOR)
    }
}
