use rattanwinch_types::value;

use crate::Scheduler;
use crate::target::Target;

value! { copy
    /// Why operators want a target to get no new tasks.
    pub enum TargetClosure {
        /// Its availability zone is closed.
        Zone,
        /// Its machine is about to go down for upkeep.
        Upkeep,
    }
}

impl TargetClosure {
    /// The stable text used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Zone => "its availability zone is closed",
            Self::Upkeep => "its machine is about to go down for upkeep",
        }
    }
}

impl Scheduler {
    /// Returns why the target gets no new tasks; `None` if operators let it have some.
    pub(crate) fn closure(&self, target: &Target) -> Option<TargetClosure> {
        let description = &target.description;
        if self.rules.closed_zones.contains(&description.zone) {
            Some(TargetClosure::Zone)
        } else if self.cordoned.contains(&description.instance.target) {
            Some(TargetClosure::Upkeep)
        } else {
            None
        }
    }
}
