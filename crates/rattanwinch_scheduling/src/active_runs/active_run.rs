use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::Resources;
use crate::TargetInstance;
use crate::Ticket;
use crate::run_lists::Presence;
use crate::target_speeds::ProgressBase;

value! { copy
    /// The desired state of a run.
    pub(crate) enum DesiredState {
        /// The run should be running.
        Run,
        /// The run should stop, or never start.
        Stop,
    }
}

/// A run that may occupy resources on a target.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub target: TargetInstance,
    pub resources: Resources,
    desired: DesiredState,
    /// Since when the run should stop, as seen by placement passes.
    pub stopping_since: Option<Timestamp>,
    /// The placement is durable; orders are sent only then.
    pub durable: bool,
    /// An order was sent and its outcome is not known yet.
    pub in_flight: bool,
    /// A start may have been sent, by this scheduler or a previous one.
    pub maybe_sent: bool,
    /// The run is known to have started on the target.
    pub started: bool,
    /// When the start was first confirmed, by an order outcome or a report.
    pub started_at: Option<Timestamp>,
    /// What the latest lists of the target say about the run.
    pub presence: Presence,
    /// Since when complete lists lack the started run.
    pub missing_since: Option<Timestamp>,
    pub placed_at: Timestamp,
    /// No order is sent before this time.
    pub retry_at: Timestamp,
    pub percent: u32,
    /// The progress in the first report that listed the run, and when it came. A run that a previous
    /// scheduler started has made progress before.
    pub first_progress: Option<(Timestamp, u32)>,
    /// The first progress in the lists that a rate is computed from.
    pub progress_base: Option<ProgressBase>,
    /// When `percent` last changed.
    pub progressed_at: Timestamp,
    pub ticket: Option<Ticket>,
}

impl ActiveRun {
    /// Creates a run that was placed just now.
    pub(crate) const fn placed(
        target: TargetInstance,
        resources: Resources,
        ticket: Option<Ticket>,
        now: Timestamp,
    ) -> Self {
        Self {
            target,
            resources,
            desired: DesiredState::Run,
            stopping_since: None,
            durable: false,
            in_flight: false,
            maybe_sent: false,
            started: false,
            started_at: None,
            presence: Presence::Unknown,
            missing_since: None,
            placed_at: now,
            retry_at: now,
            percent: 0,
            first_progress: None,
            progress_base: None,
            progressed_at: now,
            ticket,
        }
    }

    /// Creates a run that a previous scheduler has placed.
    pub(crate) fn inherited(
        target: TargetInstance,
        resources: Resources,
        desired: DesiredState,
        now: Timestamp,
    ) -> Self {
        Self {
            desired,
            durable: true,
            maybe_sent: true,
            ..Self::placed(target, resources, None, now)
        }
    }

    pub(crate) const fn desired(&self) -> DesiredState {
        self.desired
    }

    pub(super) const fn stop(&mut self) {
        self.desired = DesiredState::Stop;
    }

    /// Returns true if the run is not known to have started, or should stop.
    pub(super) fn is_unsettled(&self) -> bool {
        self.desired() == DesiredState::Stop || !self.started
    }

    /// Returns true if the run makes its task available: a serving task is once its progress is
    /// 100%.
    pub(crate) fn is_available(&self) -> bool {
        self.desired() == DesiredState::Run
            && self.presence == Presence::Running
            && self.percent >= 100
    }
}
