use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;
use smallvec::SmallVec;

use crate::target::Target;

/// Targets and zones that further attempts at one request must not use.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryExclusions {
    /// Targets that the request was sent to.
    pub targets: SmallVec<[TargetName; 4]>,
    /// Zones that an agent has reported as closed; the entry may read of the closure only later.
    pub zones: SmallVec<[ZoneName; 2]>,
}

impl RetryExclusions {
    /// Excludes a target that failed the request, and its zone if the zone is closed.
    pub fn record_failure(&mut self, target: &Target, error: &RequestError) {
        self.targets.push(target.name.clone());
        if error.kind == ErrorKind::Closed {
            self.zones.push(target.zone.clone());
        }
    }
}
