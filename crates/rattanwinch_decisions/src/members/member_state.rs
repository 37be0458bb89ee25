use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::MemberReport;
use rattanwinch_types::Verdict;

use super::Ended;
use super::Held;
use super::Member;
use super::Running;

rattanwinch_types::value! {
    /// A member in whatever state.
    pub enum MemberState {
        /// Its accelerators are kept.
        Held(Member<Held>),
        /// Its task runs or may run.
        Running(Member<Running>),
        /// It has ended.
        Ended(Member<Ended>),
    }
}

impl MemberState {
    /// True unless it has ended.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        !matches!(self, Self::Ended(_))
    }

    /// True while the executor may have something of it.
    #[must_use]
    pub fn may_have_executor_task(&self) -> bool {
        match self {
            Self::Held(_) | Self::Running(_) => true,
            Self::Ended(member) => !member.is_cleared(),
        }
    }

    /// The accelerators that can't be granted to another member.
    #[must_use]
    pub fn taken(&self) -> AcceleratorSet {
        match self {
            Self::Held(member) => member.accelerators(),
            Self::Running(member) => member.accelerators(),
            Self::Ended(member) if !member.is_cleared() => member.accelerators(),
            Self::Ended(_) => AcceleratorSet::EMPTY,
        }
    }

    /// Whether it ran.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Held(_) => Verdict::NotRun,
            Self::Running(member) => member.verdict(),
            Self::Ended(member) => member.verdict(),
        }
    }

    /// The step at which the executor confirmed to have the task, if it did.
    pub(super) const fn loaded_step(&self) -> Option<u64> {
        match self {
            Self::Held(member) => member.state.loaded,
            Self::Running(member) => member.state.loaded,
            Self::Ended(_) => None,
        }
    }

    /// What a heartbeat reports of it.
    #[must_use]
    pub fn report(&self) -> MemberReport {
        let (identity, phase) = match self {
            Self::Held(member) => (&member.identity, MemberPhase::Held),
            Self::Running(member) => (&member.identity, MemberPhase::Running),
            Self::Ended(member) => (&member.identity, MemberPhase::Ended(member.how().clone())),
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
