use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;
use smallvec::SmallVec;

use crate::target::Target;

/// Where one request isn't sent again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Avoided {
    /// Targets that it was sent to.
    pub targets: SmallVec<[TargetName; 4]>,
    /// Zones that one of their agents knows to be closed; the entry may learn it later.
    pub zones: SmallVec<[ZoneName; 2]>,
}

impl Avoided {
    /// Avoids a target that failed the request, and its zone if that is closed.
    pub fn add(&mut self, target: &Target, error: &RequestError) {
        self.targets.push(target.name.clone());
        if error.kind == ErrorKind::Closed {
            self.zones.push(target.zone.clone());
        }
    }
}
