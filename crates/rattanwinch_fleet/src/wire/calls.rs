use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::JobState;
use serde::Deserialize;
use serde::Serialize;

use crate::CallerAction;
use crate::CallerAnswer;
use crate::CallerCall;
use crate::LeaderInfo;
use crate::LeaderStatus;
use crate::Refusal;

/// [`LeaderInfo`] on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireLeader {
    epoch: u64,
    address: SocketAddr,
}

impl From<LeaderInfo> for WireLeader {
    fn from(info: LeaderInfo) -> Self {
        Self {
            epoch: info.epoch,
            address: info.address,
        }
    }
}

impl From<WireLeader> for LeaderInfo {
    fn from(wire: WireLeader) -> Self {
        Self {
            epoch: wire.epoch,
            address: wire.address,
        }
    }
}

/// [`LeaderStatus`] on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireLeaderStatus {
    leader: WireLeader,
    confirmed_ms_ago: u64,
    #[serde(default)]
    cpu_percent: u32,
    #[serde(default)]
    largest_cpu_percent: u32,
}

impl From<LeaderStatus> for WireLeaderStatus {
    fn from(status: LeaderStatus) -> Self {
        Self {
            leader: status.leader.into(),
            confirmed_ms_ago: u64::try_from(status.confirmation_age.as_millis())
                .unwrap_or(u64::MAX),
            cpu_percent: status.cpu_percent,
            largest_cpu_percent: status.largest_cpu_percent,
        }
    }
}

impl From<WireLeaderStatus> for LeaderStatus {
    fn from(wire: WireLeaderStatus) -> Self {
        Self {
            leader: wire.leader.into(),
            confirmation_age: Duration::from_millis(wire.confirmed_ms_ago),
            cpu_percent: wire.cpu_percent,
            largest_cpu_percent: wire.largest_cpu_percent,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireAction {
    Submit(Arc<str>),
    Look,
    Cancel,
}

/// [`CallerCall`] on the wire.
#[derive(Clone, Serialize, Deserialize)]
pub struct WireCall {
    host: Arc<str>,
    path: Arc<str>,
    key: Option<Arc<str>>,
    deadline_ms: u64,
    action: WireAction,
}

impl std::fmt::Debug for WireCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Debug::fmt(&CallerCall::from(self.clone()), f)
    }
}

impl From<&CallerCall> for WireCall {
    fn from(call: &CallerCall) -> Self {
        Self {
            host: Arc::clone(&call.host),
            path: Arc::clone(&call.path),
            key: call.key.clone(),
            deadline_ms: millis(call.deadline),
            action: match &call.action {
                CallerAction::Submit(body) => WireAction::Submit(Arc::clone(body)),
                CallerAction::Query => WireAction::Look,
                CallerAction::Cancel => WireAction::Cancel,
            },
        }
    }
}

impl From<WireCall> for CallerCall {
    fn from(wire: WireCall) -> Self {
        Self {
            host: wire.host,
            path: wire.path,
            key: wire.key,
            deadline: Duration::from_millis(wire.deadline_ms),
            action: match wire.action {
                WireAction::Submit(body) => CallerAction::Submit(body),
                WireAction::Look => CallerAction::Query,
                WireAction::Cancel => CallerAction::Cancel,
            },
        }
    }
}

/// [`CallerAnswer`] on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireAnswer {
    /// [`CallerAnswer::Accepted`].
    Accepted,
    /// [`CallerAnswer::Cancelled`].
    Cancelled,
    /// [`JobState::Queued`].
    Queued,
    /// [`JobState::Running`].
    Running,
    /// [`JobState::Completed`].
    Completed,
    /// [`JobState::Failed`].
    Failed,
    /// [`JobState::Cancelled`].
    WasCancelled,
    /// [`CallerAnswer::Pending`].
    Pending(u64),
    /// [`Refusal::Malformed`].
    Malformed(Arc<str>),
    /// [`Refusal::TooLarge`].
    TooLarge,
    /// [`Refusal::UnknownKey`].
    UnknownKey,
    /// [`Refusal::OtherOrganisation`].
    OtherOrganisation,
    /// [`Refusal::UnknownQueue`].
    UnknownQueue,
    /// [`Refusal::NotAllowed`].
    NotAllowed,
    /// [`Refusal::UnknownJob`].
    UnknownJob,
    /// [`Refusal::NotRun`], with the wait in milliseconds.
    NotRun(u64),
    /// [`Refusal::NoRoom`], with the wait in milliseconds.
    NoRoom(u64),
    /// [`Refusal::MayHaveRun`].
    MayHaveRun,
}

impl From<CallerAnswer> for WireAnswer {
    fn from(answer: CallerAnswer) -> Self {
        match answer {
            CallerAnswer::Accepted => Self::Accepted,
            CallerAnswer::Cancelled => Self::Cancelled,
            CallerAnswer::State(JobState::Queued) => Self::Queued,
            CallerAnswer::State(JobState::Running) => Self::Running,
            CallerAnswer::State(JobState::Completed) => Self::Completed,
            CallerAnswer::State(JobState::Failed) => Self::Failed,
            CallerAnswer::State(JobState::Cancelled) => Self::WasCancelled,
            CallerAnswer::Pending(count) => Self::Pending(count),
            CallerAnswer::Refused(refusal) => refusal.into(),
        }
    }
}

impl From<Refusal> for WireAnswer {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Malformed(cause) => Self::Malformed(cause),
            Refusal::TooLarge => Self::TooLarge,
            Refusal::UnknownKey => Self::UnknownKey,
            Refusal::OtherOrganisation => Self::OtherOrganisation,
            Refusal::UnknownQueue => Self::UnknownQueue,
            Refusal::NotAllowed => Self::NotAllowed,
            Refusal::UnknownJob => Self::UnknownJob,
            Refusal::NotRun { retry_after } => Self::NotRun(millis(retry_after)),
            Refusal::NoRoom { retry_after } => Self::NoRoom(millis(retry_after)),
            Refusal::MayHaveRun => Self::MayHaveRun,
        }
    }
}

impl From<WireAnswer> for CallerAnswer {
    fn from(wire: WireAnswer) -> Self {
        match wire {
            WireAnswer::Accepted => Self::Accepted,
            WireAnswer::Cancelled => Self::Cancelled,
            WireAnswer::Queued => Self::State(JobState::Queued),
            WireAnswer::Running => Self::State(JobState::Running),
            WireAnswer::Completed => Self::State(JobState::Completed),
            WireAnswer::Failed => Self::State(JobState::Failed),
            WireAnswer::WasCancelled => Self::State(JobState::Cancelled),
            WireAnswer::Pending(count) => Self::Pending(count),
            WireAnswer::Malformed(cause) => Self::Refused(Refusal::Malformed(cause)),
            WireAnswer::TooLarge => Self::Refused(Refusal::TooLarge),
            WireAnswer::UnknownKey => Self::Refused(Refusal::UnknownKey),
            WireAnswer::OtherOrganisation => Self::Refused(Refusal::OtherOrganisation),
            WireAnswer::UnknownQueue => Self::Refused(Refusal::UnknownQueue),
            WireAnswer::NotAllowed => Self::Refused(Refusal::NotAllowed),
            WireAnswer::UnknownJob => Self::Refused(Refusal::UnknownJob),
            WireAnswer::NotRun(retry_ms) => Self::Refused(Refusal::NotRun {
                retry_after: Duration::from_millis(retry_ms),
            }),
            WireAnswer::NoRoom(retry_ms) => Self::Refused(Refusal::NoRoom {
                retry_after: Duration::from_millis(retry_ms),
            }),
            WireAnswer::MayHaveRun => Self::Refused(Refusal::MayHaveRun),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
