use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::Resources;
use crate::TargetInstance;
use crate::Ticket;

value! { copy
    /// What is to become of a run.
    pub(crate) enum Intent {
        /// It is to be at work.
        Run,
        /// It is to stop, or never to start.
        Stop,
    }
}

/// A run that may hold room on a target.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub target: TargetInstance,
    pub resources: Resources,
    pub intent: Intent,
    /// Orders may be sent only once the placement is durable.
    pub durable: bool,
    /// An order has been sent and its answer is outstanding.
    pub in_flight: bool,
    /// A start may have been sent, by this scheduler or by an earlier one.
    pub maybe_sent: bool,
    /// The target has it, or had it.
    pub started: bool,
    /// When a start was first confirmed, by an answer or a report.
    pub started_at: Option<Timestamp>,
    /// The newest report shows it at work.
    pub present: bool,
    /// Since when reports don't show a run that had started.
    pub missing_since: Option<Timestamp>,
    pub placed_at: Timestamp,
    /// No order goes out before this time.
    pub retry_at: Timestamp,
    pub percent: u32,
    /// When `percent` last rose.
    pub progressed_at: Timestamp,
    pub ticket: Option<Ticket>,
}
