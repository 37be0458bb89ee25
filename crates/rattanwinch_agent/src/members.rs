use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberReport;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopOrder;
use rattanwinch_types::Timestamp;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::member_message::AnswerTo;
use crate::member_message::MemberMessage;
use crate::member_message::Result;

/// Messages that may wait for the task that owns the member table.
const QUEUED_MESSAGES: usize = 256;

/// What is known of all members, for heartbeats; `None` until the executor's tasks were adopted.
pub(crate) type Reports = Option<Vec<MemberReport>>;

/// The receiving ends that the task which owns the member table needs.
#[derive(Debug)]
pub(crate) struct MemberInbox {
    /// The messages.
    pub messages: mpsc::Receiver<MemberMessage>,
    /// Where it publishes its members.
    pub reports: watch::Sender<Reports>,
}

/// Sends commands to the task that owns the member table.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    messages: mpsc::Sender<MemberMessage>,
    reports: watch::Receiver<Reports>,
}

impl Members {
    /// Makes the sending end and what the owner needs.
    pub fn channel() -> (Self, MemberInbox) {
        let (tx, rx) = mpsc::channel(QUEUED_MESSAGES);
        let (reports_tx, reports_rx) = watch::channel(None);
        let members = Self {
            messages: tx,
            reports: reports_rx,
        };
        let inbox = MemberInbox {
            messages: rx,
            reports: reports_tx,
        };
        (members, inbox)
    }

    /// Waits until the executor's tasks have been adopted; false if the agent stops before.
    pub async fn adopted(&self) -> bool {
        let mut reports = self.reports.clone();
        reports.wait_for(Option::is_some).await.is_ok()
    }

    /// What a heartbeat reports.
    pub fn reports(&self) -> Vec<MemberReport> {
        self.reports.borrow().clone().unwrap_or_default()
    }

    /// Accepts a decider's epoch and returns all members.
    pub async fn adopt(&self, epoch: Epoch) -> Result<Vec<MemberReport>> {
        self.ask(|answer| MemberMessage::Adopt(epoch, answer)).await
    }

    /// Holds a member; returns once its task is loaded.
    pub async fn hold(&self, order: HoldOrder) -> Result<()> {
        self.ask(|answer| MemberMessage::Hold(order, answer)).await
    }

    /// Releases a member; returns once its task runs.
    pub async fn release(&self, member: MemberKey, epoch: Epoch) -> Result<()> {
        self.ask(|answer| MemberMessage::Release(member, epoch, answer))
            .await
    }

    /// Aborts a member; returns once the executor has been told, or nothing runs.
    pub async fn abort(&self, member: MemberKey, epoch: Epoch) -> Result<()> {
        self.ask(|answer| MemberMessage::Abort(member, epoch, answer))
            .await
    }

    /// Stops a member; returns once the executor has been told, or nothing runs.
    pub async fn stop(&self, order: StopOrder, epoch: Epoch) -> Result<()> {
        self.ask(|answer| MemberMessage::Stop(order, epoch, answer))
            .await
    }

    /// Whether the output of a member can be read.
    pub async fn check_output(&self, member: MemberKey) -> Result<()> {
        self.ask(|answer| MemberMessage::CheckOutput(member, answer))
            .await
    }

    /// Passes on what an entry answered to a heartbeat.
    pub async fn heartbeat_answered(&self, sent_at: Timestamp, response: HeartbeatResponse) {
        let message = MemberMessage::HeartbeatAnswered(sent_at, Box::new(response));
        // The owner is gone only when the agent stops.
        let _ = self.messages.send(message).await;
    }

    /// Passes on what the executor answered.
    pub async fn executor_answered(&self, message: MemberMessage) {
        let _ = self.messages.send(message).await;
    }

    async fn ask<T>(&self, message: impl FnOnce(AnswerTo<T>) -> MemberMessage) -> Result<T> {
        if self.reports.borrow().is_none() {
            let message = "the agent hasn't read its executor's tasks yet";
            return Err(RequestError::not_run(ErrorKind::Unavailable, message));
        }
        let (tx, rx) = oneshot::channel();
        let stopping = |verdict: fn(ErrorKind, &'static str) -> RequestError| {
            verdict(ErrorKind::Unavailable, "the agent is stopping")
        };
        if self.messages.send(message(tx)).await.is_err() {
            return Err(stopping(RequestError::not_run));
        }
        rx.await
            .unwrap_or_else(|_| Err(stopping(RequestError::may_have_run)))
    }
}
