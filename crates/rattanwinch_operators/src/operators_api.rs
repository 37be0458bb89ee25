use std::fmt;
use std::sync::Arc;

use rattanwinch_types::Timestamp;

use crate::AcceptedChange;
use crate::ConfigChanges;

/// Returns the current time.
pub type NowFn = Arc<dyn Fn() -> Timestamp + Send + Sync>;

/// A callback for each change accepted by this process, called before the operator gets the
/// response.
pub type OnAccepted = Arc<dyn Fn(&AcceptedChange) + Send + Sync>;

/// The dependencies of the routes for operators.
pub struct OperatorsApi<S, R> {
    pub(crate) changes: ConfigChanges<S>,
    pub(crate) report: Arc<R>,
    pub(crate) now: NowFn,
    on_accepted: Option<OnAccepted>,
}

impl<S, R> OperatorsApi<S, R> {
    /// Creates the API from the configuration, the reports and the clock.
    #[must_use]
    pub const fn new(changes: ConfigChanges<S>, report: Arc<R>, now: NowFn) -> Self {
        Self {
            changes,
            report,
            now,
            on_accepted: None,
        }
    }

    /// Calls `on_accepted` for each accepted change, so that the entry applies the configuration at
    /// once instead of after its next control read.
    #[must_use]
    pub fn with_on_accepted(mut self, on_accepted: OnAccepted) -> Self {
        self.on_accepted = Some(on_accepted);
        self
    }

    pub(crate) fn notify_accepted(&self, change: &AcceptedChange) {
        if let Some(on_accepted) = &self.on_accepted {
            on_accepted(change);
        }
    }
}

impl<S, R> fmt::Debug for OperatorsApi<S, R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorsApi")
    }
}
