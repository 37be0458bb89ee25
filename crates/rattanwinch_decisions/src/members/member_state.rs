use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::MemberReport;
use rattanwinch_types::Verdict;

use super::Ended;
use super::Held;
use super::Member;
use super::Running;

rattanwinch_types::value! {
    /// A member in any state.
    pub enum MemberState {
        /// The accelerators are held and the task doesn't run.
        Held(Member<Held>),
        /// The task runs or may run.
        Running(Member<Running>),
        /// The member has ended.
        Ended(Member<Ended>),
    }
}

impl MemberState {
    /// Whether the member has not ended.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        !matches!(self, Self::Ended(_))
    }

    /// Whether the executor may hold a task of the member.
    #[must_use]
    pub fn may_have_executor_task(&self) -> bool {
        match self {
            Self::Held(_) | Self::Running(_) => true,
            Self::Ended(member) => !member.has_freed_accelerators(),
        }
    }

    /// Accelerators that can't be granted to another member.
    #[must_use]
    pub fn occupied_accelerators(&self) -> AcceleratorSet {
        match self {
            Self::Held(member) => member.accelerators(),
            Self::Running(member) => member.accelerators(),
            Self::Ended(member) if !member.has_freed_accelerators() => member.accelerators(),
            Self::Ended(_) => AcceleratorSet::EMPTY,
        }
    }

    /// Whether the member ran.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Held(_) => Verdict::NotRun,
            Self::Running(member) => member.verdict(),
            Self::Ended(member) => member.verdict(),
        }
    }

    /// Step at which the executor confirmed the task; `None` before that.
    pub(super) const fn loaded_step(&self) -> Option<u64> {
        match self {
            Self::Held(member) => member.state.loaded_step,
            Self::Running(member) => member.state.loaded_step,
            Self::Ended(_) => None,
        }
    }

    /// Report of the member for a heartbeat.
    #[must_use]
    pub fn report(&self) -> MemberReport {
        let (identity, phase) = match self {
            Self::Held(member) => (&member.identity, MemberPhase::Held),
            Self::Running(member) => (&member.identity, MemberPhase::Running),
            Self::Ended(member) => (
                &member.identity,
                MemberPhase::Ended(member.outcome().clone()),
            ),
        };
        let live = self.is_live();
        MemberReport {
            member: identity.key.clone(),
            epoch: identity.epoch,
            phase,
            accelerators: if live {
                identity.accelerators
            } else {
                AcceleratorSet::EMPTY
            },
        }
    }

    pub(super) const fn identity(&self) -> &super::member::Identity {
        match self {
            Self::Held(member) => &member.identity,
            Self::Running(member) => &member.identity,
            Self::Ended(member) => &member.identity,
        }
    }
}
