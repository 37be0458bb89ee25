use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::ws_client::WsClient;
use rattanwinch_decisions::AttemptEnd;
use rattanwinch_decisions::GangAction;
use rattanwinch_decisions::HOLD_TIMEOUT;
use rattanwinch_decisions::JobEnd;
use rattanwinch_peers::GangRpcClient as _;
use rattanwinch_peers::request_error;
use rattanwinch_platform::Store;
use rattanwinch_types::Answer;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::JobSpec;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopOrder;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use super::decider::ZoneDecider;
use super::message::Response;
use super::message::ZoneMessage;
use crate::target::Target;

/// How long a release, an abort or a stop may take before it counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the transfer of a task's output may take.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(5);

impl<S: Store> ZoneDecider<S> {
    /// Carries out everything that the coordinator wants done.
    pub(super) fn carry_out(&mut self, now: Timestamp) {
        loop {
            let actions = self.gangs.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out_one(action, now);
            }
        }
    }

    fn carry_out_one(&mut self, action: GangAction, now: Timestamp) {
        match action {
            GangAction::Hold { target, order } => self.hold(&target, order),
            GangAction::Release { target, member } => {
                if self.gangs.is_committed(&member) {
                    self.release(&target, member);
                } else {
                    self.count_violation("release_after_commit", &member.attempt.key);
                }
            }
            GangAction::Abort { target, member } => self.abort(&target, member),
            GangAction::Stop { target, order } => self.stop(&target, order),
            GangAction::Collect { target, member } => self.collect(&target, member),
            GangAction::Write { expected, record } => {
                let (state, epoch) = (Arc::clone(&self.state), self.epoch);
                self.respond(async move {
                    let outcome = state.write_record(epoch, expected, &record).await;
                    Response::Written(record.spec.key.clone(), outcome)
                });
            }
            GangAction::Read { key } => {
                let (state, zone) = (Arc::clone(&self.state), self.zone.clone());
                self.respond(async move {
                    let found = state.read_record(&zone, &key).await;
                    Response::Read(key, found)
                });
            }
            GangAction::Started { key } => self.policy.job_started(&key, now),
            GangAction::StartFailed {
                key,
                failed_workers,
            } => {
                self.policy.job_start_failed(&key, &failed_workers, now);
            }
            GangAction::Ended { key, end } => self.policy.job_ended(&key, job_end(end), now),
            GangAction::Requeue { key } => {
                if let Some((record, _)) = self.gangs.queued_record(&key) {
                    let spec = record.spec.clone();
                    self.enqueue(spec, now);
                }
            }
            GangAction::Dequeue { key } => {
                self.policy.cancel(&key, now);
            }
            GangAction::Finished { key } => self.answer_finished(&key),
            GangAction::Deposed => self.deposed = true,
        }
    }

    /// Puts a job into the policy's queue, or finishes it if it can never run.
    pub(super) fn enqueue(&mut self, spec: JobSpec, now: Timestamp) {
        let key: RequestKey = spec.key.clone();
        if let Err(error) = self.policy.submit(spec, now) {
            self.gangs.refuse(&key, error, now);
        }
    }

    /// Runs a call in the background; its response comes back as a message.
    pub(super) fn respond(&self, call: impl Future<Output = Response> + Send + 'static) {
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let response = call.await;
            // The task is gone once another entry decides the zone.
            let _ = messages.send(ZoneMessage::Response(response)).await;
        });
    }

    fn hold(&self, target: &TargetName, order: HoldOrder) {
        let agent = self.state.fleet.target(target);
        let (target, member) = (target.clone(), order.member.clone());
        self.respond(async move {
            let held = call_agent(agent, HOLD_TIMEOUT, async |client| {
                client.hold(order.into()).await
            });
            Response::Held(target, member, held.await)
        });
    }

    fn release(&self, target: &TargetName, member: MemberKey) {
        let agent = self.state.fleet.target(target);
        let epoch = self.epoch.0;
        self.respond(async move {
            let wire = member.clone().into();
            let released = call_agent(agent, CALL_TIMEOUT, async |client| {
                client.release(wire, epoch).await
            });
            Response::Released(member, released.await)
        });
    }

    /// Ends a member, and keeps it from starting later.
    pub(super) fn abort(&self, target: &TargetName, member: MemberKey) {
        let agent = self.state.fleet.target(target);
        let (epoch, messages) = (self.epoch.0, self.messages.clone());
        tokio::spawn(async move {
            let wire = member.clone().into();
            let aborted = call_agent(agent, CALL_TIMEOUT, async |client| {
                client.abort(wire, epoch).await
            });
            if aborted.await.is_ok() {
                let response = ZoneMessage::Response(Response::Aborted(member));
                let _ = messages.send(response).await;
            }
        });
    }

    fn stop(&self, target: &TargetName, order: StopOrder) {
        let agent = self.state.fleet.target(target);
        let epoch = self.epoch.0;
        tokio::spawn(async move {
            let stopped = call_agent(agent, CALL_TIMEOUT, async |client| {
                client.stop(order.into(), epoch).await
            });
            // What became of the member shows in the next heartbeat.
            let _ = stopped.await;
        });
    }

    fn collect(&self, target: &TargetName, member: MemberKey) {
        let agent = self.state.fleet.target(target);
        self.respond(async move {
            let wire = member.clone().into();
            let collected = call_agent(agent, COLLECT_TIMEOUT, async |client| {
                client.collect(wire).await
            });
            let output = collected.await.and_then(|answer| {
                Answer::try_from(answer).map_err(|error| {
                    let message = format!("the output is damaged: {error}");
                    RequestError::may_have_run(ErrorKind::Unavailable, message)
                })
            });
            Response::Collected(member, output)
        });
    }
}

/// Calls an agent over its connection of the moment.
pub(super) async fn call_agent<T>(
    agent: Option<Arc<Target>>,
    limit: Duration,
    call: impl AsyncFnOnce(Arc<WsClient>) -> Result<T, ClientError>,
) -> Result<T, RequestError> {
    let Some(agent) = agent else {
        let message = "the worker isn't known here";
        return Err(RequestError::may_have_run(ErrorKind::Unavailable, message));
    };
    // Nothing was sent now, but an earlier sending of the same message may have arrived.
    let client = agent
        .connection
        .client()
        .map_err(|error| RequestError::may_have_run(error.kind, &error.message))?;
    match tokio::time::timeout(limit, call(client)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(request_error(&error)),
        Err(_) => {
            let message = format!("the agent didn't answer within {} ms", limit.as_millis());
            Err(RequestError::may_have_run(ErrorKind::Unavailable, message))
        }
    }
}

fn job_end(end: AttemptEnd) -> JobEnd {
    match end {
        AttemptEnd::Succeeded => JobEnd::Succeeded,
        AttemptEnd::Failed(target) => JobEnd::Failed {
            failed_workers: std::iter::once(target).collect(),
        },
        AttemptEnd::Evicted => JobEnd::Evicted,
        AttemptEnd::WorkerLost(_) => JobEnd::WorkerLost,
        AttemptEnd::Cancelled => JobEnd::Cancelled,
    }
}
