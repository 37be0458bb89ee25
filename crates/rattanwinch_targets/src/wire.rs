//! The request and response bodies of the executor's HTTP interface, which `docs/executor-api.md`
//! describes.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::Digest;
use rattanwinch_types::Epoch;
use rattanwinch_types::InvalidName;
use rattanwinch_types::MemberKey;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use crate::TaskOrder;
use crate::TaskReport;
use crate::TaskState;

fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

rattanwinch_types::value! { wire
    /// The body of `POST /v1/requests`.
    pub struct WireRequest {
        /// The organisation.
        pub organisation: String,
        /// The caller's id.
        pub id: String,
        /// The number of the attempt, from 1.
        pub attempt: u32,
        /// How long the caller waits, in milliseconds.
        pub limit_ms: u64,
        /// The time from which the executor must not start the attempt, in milliseconds since the
        /// Unix epoch.
        pub start_before_unix_ms: u64,
        /// The payload of the request.
        pub payload: String,
    }
}

impl WireRequest {
    /// Creates the request body for an attempt.
    #[must_use]
    pub fn new(
        attempt: &AttemptKey,
        payload: &Arc<str>,
        limit: Duration,
        start_before: Timestamp,
    ) -> Self {
        Self {
            organisation: attempt.key.organisation.as_str().to_owned(),
            id: attempt.key.id.as_str().to_owned(),
            attempt: attempt.attempt,
            limit_ms: to_millis(limit),
            start_before_unix_ms: start_before.as_millis(),
            payload: payload.as_ref().to_owned(),
        }
    }
}

rattanwinch_types::value! { wire
    /// An answer or the output of a task, with a digest to detect truncated or changed text.
    pub struct WireResponse {
        /// The text.
        pub text: String,
        /// SHA-256 of the text, in hexadecimal.
        pub sha256: String,
    }
}

impl WireResponse {
    /// Returns the answer, or `None` if the text is truncated or changed.
    #[must_use]
    pub fn into_answer(self) -> Option<Answer> {
        let digest = Digest::parse_hex(&self.sha256)?;
        Answer::verified(self.text, digest)
    }
}

impl From<Answer> for WireResponse {
    fn from(answer: Answer) -> Self {
        Self {
            text: answer.text().as_ref().to_owned(),
            sha256: answer.digest().to_hex(),
        }
    }
}

rattanwinch_types::value! { wire
    /// The body of `PUT /v1/tasks/{organisation}/{id}/{attempt}/{index}`.
    pub struct WireTaskOrder {
        /// The decider's epoch.
        pub epoch: i64,
        /// The accelerators, as a bit set.
        pub accelerators: u8,
        /// The number of tasks in the gang.
        pub gang_tasks: u16,
        /// The payload for the task.
        pub payload: String,
        /// How long the task is kept without a lease renewal, in milliseconds.
        pub lease_ms: u64,
    }
}

impl From<&TaskOrder> for WireTaskOrder {
    fn from(order: &TaskOrder) -> Self {
        Self {
            epoch: order.epoch.0,
            accelerators: order.accelerators.bits(),
            gang_tasks: order.gang_tasks,
            payload: order.payload.as_ref().to_owned(),
            lease_ms: to_millis(order.lease),
        }
    }
}

rattanwinch_types::value! { wire
    /// The body of `POST /v1/tasks/{organisation}/{id}/{attempt}/{index}/stop`.
    pub struct WireTaskStop {
        /// `throttle`, `checkpoint` or `stop`.
        pub mode: String,
    }
}

rattanwinch_types::value! { wire
    /// The body of `POST /v1/lease`, which renews the leases of the given tasks.
    pub struct WireTaskLeaseRenewal {
        /// The tasks, each as `{organisation}/{id}/{attempt}/{index}`.
        pub tasks: Vec<String>,
        /// The new lease in milliseconds from now.
        pub lease_ms: u64,
    }
}

rattanwinch_types::value! { wire
    /// One task in the response to `GET /v1/tasks`.
    pub struct WireTaskReport {
        /// The organisation.
        pub organisation: String,
        /// The caller's id of the job.
        pub id: String,
        /// The number of the attempt.
        pub attempt: u32,
        /// The index of the task in the gang, from 0.
        pub index: u16,
        /// The epoch of the decider that loaded the task.
        pub epoch: i64,
        /// The accelerators, as a bit set.
        pub accelerators: u8,
        /// The number of tasks in the gang.
        pub gang_tasks: u16,
        /// `loaded`, `running`, `succeeded`, `failed`, `stopped` or `expired`.
        pub state: String,
        /// The executor's message for a failed task.
        #[serde(default)]
        pub message: String,
    }
}

rattanwinch_types::value! { wire
    /// The response body of `GET /v1/tasks`.
    pub struct WireTaskList {
        /// All tasks that the executor has, including ended ones that were not deleted.
        pub tasks: Vec<WireTaskReport>,
    }
}

impl From<TaskReport> for WireTaskReport {
    fn from(report: TaskReport) -> Self {
        let (state, message) = match report.state {
            TaskState::Loaded => ("loaded", String::new()),
            TaskState::Running => ("running", String::new()),
            TaskState::Succeeded => ("succeeded", String::new()),
            TaskState::Failed(text) => ("failed", text.to_string()),
            TaskState::Stopped => ("stopped", String::new()),
            TaskState::Expired => ("expired", String::new()),
        };
        let key = report.member.attempt.key;
        Self {
            organisation: key.organisation.into(),
            id: key.id.into(),
            attempt: report.member.attempt.attempt,
            index: report.member.index,
            epoch: report.epoch.0,
            accelerators: report.accelerators.bits(),
            gang_tasks: report.gang_tasks,
            state: state.to_owned(),
            message,
        }
    }
}

impl TryFrom<WireTaskReport> for TaskReport {
    type Error = InvalidName;

    /// Converts a report; an unknown state counts as failed.
    fn try_from(wire: WireTaskReport) -> Result<Self, InvalidName> {
        let state = match wire.state.as_str() {
            "loaded" => TaskState::Loaded,
            "running" => TaskState::Running,
            "succeeded" => TaskState::Succeeded,
            "stopped" => TaskState::Stopped,
            "expired" => TaskState::Expired,
            "failed" => TaskState::Failed(Arc::from(wire.message)),
            other => TaskState::Failed(Arc::from(format!(
                "unknown task state {other:?} reported by the executor"
            ))),
        };
        let key = RequestKey {
            organisation: Organisation::new(wire.organisation)?,
            id: RequestId::new(wire.id)?,
        };
        let attempt = AttemptKey {
            key,
            attempt: wire.attempt,
        };
        Ok(Self {
            member: MemberKey {
                attempt,
                index: wire.index,
            },
            epoch: Epoch(wire.epoch),
            accelerators: AcceleratorSet::from_bits(wire.accelerators),
            gang_tasks: wire.gang_tasks,
            state,
        })
    }
}
