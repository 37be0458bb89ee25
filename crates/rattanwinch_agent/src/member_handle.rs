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

use crate::member_message::MemberMessage;
use crate::member_message::ReplySender;
use crate::member_message::Result;

/// The capacity of the member actor's message queue.
const MESSAGE_QUEUE_CAPACITY: usize = 256;

/// The state of all members, for heartbeats; `None` until the executor's tasks have been adopted.
pub(crate) type Reports = Option<Vec<MemberReport>>;

/// The channel ends that the member actor uses.
#[derive(Debug)]
pub(crate) struct MemberInbox {
    /// The receiver of messages.
    pub messages: mpsc::Receiver<MemberMessage>,
    /// The sender for the state of the members.
    pub reports: watch::Sender<Reports>,
}

/// Sends commands to the member actor.
#[derive(Clone, Debug)]
pub(crate) struct MemberHandle {
    messages: mpsc::Sender<MemberMessage>,
    reports: watch::Receiver<Reports>,
}

impl MemberHandle {
    /// Creates the handle and the channel ends of the member actor.
    pub fn channel() -> (Self, MemberInbox) {
        let (tx, rx) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        let (reports_tx, reports_rx) = watch::channel(None);
        let handle = Self {
            messages: tx,
            reports: reports_rx,
        };
        let inbox = MemberInbox {
            messages: rx,
            reports: reports_tx,
        };
        (handle, inbox)
    }

    /// Waits until the executor's tasks have been adopted; returns false if the agent stops first.
    pub async fn wait_adopted(&self) -> bool {
        let mut reports = self.reports.clone();
        reports.wait_for(Option::is_some).await.is_ok()
    }

    /// The state of all members.
    pub fn reports(&self) -> Vec<MemberReport> {
        self.reports.borrow().clone().unwrap_or_default()
    }

    /// Accepts a decider's epoch and returns all members.
    pub async fn adopt(&self, epoch: Epoch) -> Result<Vec<MemberReport>> {
        self.request(|reply| MemberMessage::Adopt(epoch, reply))
            .await
    }

    /// Holds a member; returns once its task is loaded.
    pub async fn hold(&self, order: HoldOrder) -> Result<()> {
        self.request(|reply| MemberMessage::Hold(order, reply))
            .await
    }

    /// Releases a member; returns once its task runs.
    pub async fn release(&self, member: MemberKey, epoch: Epoch) -> Result<()> {
        self.request(|reply| MemberMessage::Release(member, epoch, reply))
            .await
    }

    /// Aborts a member; returns once the executor has received the stop, or nothing runs.
    pub async fn abort(&self, member: MemberKey, epoch: Epoch) -> Result<()> {
        self.request(|reply| MemberMessage::Abort(member, epoch, reply))
            .await
    }

    /// Stops a member; returns once the executor has received the stop, or nothing runs.
    pub async fn stop(&self, order: StopOrder, epoch: Epoch) -> Result<()> {
        self.request(|reply| MemberMessage::Stop(order, epoch, reply))
            .await
    }

    /// Checks whether the output of a member can be read.
    pub async fn check_output(&self, member: MemberKey) -> Result<()> {
        self.request(|reply| MemberMessage::CheckOutput(member, reply))
            .await
    }

    /// Forwards an entry's response to a heartbeat.
    pub async fn send_heartbeat_response(&self, sent_at: Timestamp, response: HeartbeatResponse) {
        let message = MemberMessage::HeartbeatResponse(sent_at, Box::new(response));
        // The actor has ended only if the agent is stopping.
        let _ = self.messages.send(message).await;
    }

    /// Forwards a result from the executor.
    pub async fn send_executor_result(&self, message: MemberMessage) {
        let _ = self.messages.send(message).await;
    }

    async fn request<T>(&self, message: impl FnOnce(ReplySender<T>) -> MemberMessage) -> Result<T> {
        if self.reports.borrow().is_none() {
            let message = "the agent has not read its executor's tasks yet";
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
