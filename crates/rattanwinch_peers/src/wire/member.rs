use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::MemberReport;
use rattanwinch_types::StopMode;
use rattanwinch_types::StopOrder;

use super::InvalidMessage;
use super::WireAttemptKey;
use super::to_millis;

rattanwinch_types::value! { wire
    /// A [`MemberKey`] as it travels.
    pub struct WireMemberKey {
        /// The attempt at the gang.
        pub attempt: WireAttemptKey,
        /// The task's place in the gang, from 0.
        pub index: u16,
    }
}

impl From<MemberKey> for WireMemberKey {
    fn from(member: MemberKey) -> Self {
        Self {
            attempt: member.attempt.into(),
            index: member.index,
        }
    }
}

impl TryFrom<WireMemberKey> for MemberKey {
    type Error = InvalidMessage;

    fn try_from(wire: WireMemberKey) -> Result<Self, InvalidMessage> {
        Ok(Self {
            attempt: wire.attempt.try_into()?,
            index: wire.index,
        })
    }
}

rattanwinch_types::value! { wire
    /// A [`MemberPhase`] with its [`MemberOutcome`], flattened.
    pub enum WireMemberPhase {
        /// Held.
        Held,
        /// Running.
        Running,
        /// Succeeded.
        Succeeded,
        /// Failed, with the executor's text.
        Failed(String),
        /// Stopped on order.
        Stopped,
        /// The hold or the task lease lapsed.
        Lapsed,
    }
}

impl From<MemberPhase> for WireMemberPhase {
    fn from(phase: MemberPhase) -> Self {
        match phase {
            MemberPhase::Held => Self::Held,
            MemberPhase::Running => Self::Running,
            MemberPhase::Ended(MemberOutcome::Succeeded) => Self::Succeeded,
            MemberPhase::Ended(MemberOutcome::Failed(text)) => Self::Failed(text.to_string()),
            MemberPhase::Ended(MemberOutcome::Stopped) => Self::Stopped,
            MemberPhase::Ended(MemberOutcome::Lapsed) => Self::Lapsed,
        }
    }
}

impl From<WireMemberPhase> for MemberPhase {
    fn from(wire: WireMemberPhase) -> Self {
        match wire {
            WireMemberPhase::Held => Self::Held,
            WireMemberPhase::Running => Self::Running,
            WireMemberPhase::Succeeded => Self::Ended(MemberOutcome::Succeeded),
            WireMemberPhase::Failed(text) => Self::Ended(MemberOutcome::Failed(Arc::from(text))),
            WireMemberPhase::Stopped => Self::Ended(MemberOutcome::Stopped),
            WireMemberPhase::Lapsed => Self::Ended(MemberOutcome::Lapsed),
        }
    }
}

rattanwinch_types::value! { wire
    /// A [`MemberReport`] as it travels.
    pub struct WireMemberReport {
        /// The member.
        pub member: WireMemberKey,
        /// The epoch of the decider that held it.
        pub epoch: i64,
        /// Where it stands.
        pub phase: WireMemberPhase,
        /// Bits of the accelerators that it has.
        pub accelerators: u8,
    }
}

impl From<MemberReport> for WireMemberReport {
    fn from(report: MemberReport) -> Self {
        Self {
            member: report.member.into(),
            epoch: report.epoch.0,
            phase: report.phase.into(),
            accelerators: report.accelerators.bits(),
        }
    }
}

impl TryFrom<WireMemberReport> for MemberReport {
    type Error = InvalidMessage;

    fn try_from(wire: WireMemberReport) -> Result<Self, InvalidMessage> {
        Ok(Self {
            member: wire.member.try_into()?,
            epoch: Epoch(wire.epoch),
            phase: wire.phase.into(),
            accelerators: AcceleratorSet::from_bits(wire.accelerators),
        })
    }
}

rattanwinch_types::value! { wire
    /// A [`HoldOrder`] as it travels.
    pub struct WireHoldOrder {
        /// The member.
        pub member: WireMemberKey,
        /// The decider's epoch.
        pub epoch: i64,
        /// Bits of the accelerators to keep.
        pub accelerators: u8,
        /// The number of tasks in the gang.
        pub gang_tasks: u16,
        /// The text for the executor.
        pub payload: String,
        /// How long the hold lasts without a release, in milliseconds.
        pub hold_for_ms: u64,
    }
}

impl From<HoldOrder> for WireHoldOrder {
    fn from(order: HoldOrder) -> Self {
        Self {
            member: order.member.into(),
            epoch: order.epoch.0,
            accelerators: order.accelerators.bits(),
            gang_tasks: order.gang_tasks,
            payload: order.payload.as_ref().to_owned(),
            hold_for_ms: to_millis(order.hold_for),
        }
    }
}

impl TryFrom<WireHoldOrder> for HoldOrder {
    type Error = InvalidMessage;

    fn try_from(wire: WireHoldOrder) -> Result<Self, InvalidMessage> {
        if wire.accelerators == 0 {
            return Err(InvalidMessage::new("accelerators", "at least one"));
        }
        if wire.member.index >= wire.gang_tasks {
            return Err(InvalidMessage::new("member.index", "less than gang_tasks"));
        }
        Ok(Self {
            member: wire.member.try_into()?,
            epoch: Epoch(wire.epoch),
            accelerators: AcceleratorSet::from_bits(wire.accelerators),
            gang_tasks: wire.gang_tasks,
            payload: Arc::from(wire.payload),
            hold_for: Duration::from_millis(wire.hold_for_ms),
        })
    }
}

rattanwinch_types::value! { wire
    /// A [`StopOrder`] as it travels.
    pub struct WireStopOrder {
        /// The member.
        pub member: WireMemberKey,
        /// `throttle`, `checkpoint` or `stop`.
        pub mode: String,
    }
}

impl From<StopOrder> for WireStopOrder {
    fn from(order: StopOrder) -> Self {
        Self {
            member: order.member.into(),
            mode: order.mode.as_str().to_owned(),
        }
    }
}

impl TryFrom<WireStopOrder> for StopOrder {
    type Error = InvalidMessage;

    fn try_from(wire: WireStopOrder) -> Result<Self, InvalidMessage> {
        let mode = StopMode::parse(&wire.mode)
            .ok_or_else(|| InvalidMessage::new("mode", "throttle, checkpoint or stop"))?;
        Ok(Self {
            member: wire.member.try_into()?,
            mode,
        })
    }
}
