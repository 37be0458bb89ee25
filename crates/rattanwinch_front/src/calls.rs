use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::CallerAction;
use rattanwinch_fleet::CallerAnswer;
use rattanwinch_fleet::CallerCall;
use rattanwinch_fleet::Refusal;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::JobId;
use rattanwinch_site_callers::decode_job;
use rattanwinch_site_operators::OperatorConfig;
use rattanwinch_site_operators::Queue;
use rattanwinch_types::Organisation;
use tokio::sync::oneshot;

use crate::commands::Command;
use crate::front_state::FrontState;
use crate::local_leader::LocalLeader;
use crate::local_leader::OperatorOrdersSnapshot;

/// Age up to which operators' orders are used without waiting for a newer read. They have to be in
/// force 2 s after their confirmation.
const FRESH_OPERATOR_ORDERS_AGE: Duration = Duration::from_millis(1500);

/// How long a call waits for a newer read of the operators' orders before older ones are used.
const FRESH_OPERATOR_ORDERS_WAIT: Duration = Duration::from_millis(400);

/// Age beyond which operators' orders aren't used. A revoked key must stop working within 5 s; the
/// rest is reserved for the call itself.
const MAX_OPERATOR_ORDERS_AGE: Duration = Duration::from_millis(4000);

/// Retry-after time of a call that wasn't run because the operators' orders or the leader were
/// unavailable. A change of leader takes about as long.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Organisation of calls without a key, on public queues.
const PUBLIC_ORGANISATION: &str = "public";

/// Handles a call in the process of the leader.
pub(crate) async fn handle_call(
    state: &FrontState,
    local_leader: &LocalLeader,
    call: &CallerCall,
) -> CallerAnswer {
    match try_handle_call(state, local_leader, call).await {
        Ok(answer) => answer,
        Err(refusal) => CallerAnswer::Refused(refusal),
    }
}

async fn try_handle_call(
    state: &FrontState,
    local_leader: &LocalLeader,
    call: &CallerCall,
) -> Result<CallerAnswer, Refusal> {
    let snapshot = current_operator_orders(state, local_leader).await?;
    let config = &snapshot.orders.config;
    let is_fresh = snapshot.is_config_fresh(MAX_OPERATOR_ORDERS_AGE, state.clock.now());
    let (queue, rest) = config
        .queue(&call.host, &call.path)
        .ok_or_else(|| unless_fresh(is_fresh, Refusal::UnknownQueue))?;
    let organisation = authorise(config, is_fresh, queue, call)?;
    if rest.is_empty() && call.action == CallerAction::Query {
        return Ok(CallerAnswer::Pending(
            local_leader.published_jobs.queued(&queue.name),
        ));
    }
    if rest.is_empty() || rest.contains('/') {
        return Err(Refusal::Malformed(Arc::from("the path names no job")));
    }
    let id = JobId::from(rest);
    match &call.action {
        CallerAction::Query => job_state(local_leader, &id, &organisation),
        CallerAction::Cancel => cancel(local_leader, id, organisation).await,
        CallerAction::Submit(body) => {
            let job = AcceptedJob {
                id,
                queue: queue.name.clone(),
                rules: queue.rules.clone(),
                organisation,
                accepted_at: state.clock.wall_time(),
                description: decode_job(body)
                    .map_err(|error| Refusal::Malformed(Arc::from(error.to_string())))?,
            };
            submit(local_leader, job, Arc::clone(body)).await
        }
    }
}

async fn current_operator_orders(
    state: &FrontState,
    local_leader: &LocalLeader,
) -> Result<Arc<OperatorOrdersSnapshot>, Refusal> {
    let updated = local_leader.operator_orders_updated.notified();
    if let Some(current) =
        local_leader.fresh_operator_orders(FRESH_OPERATOR_ORDERS_AGE, state.clock.now())
    {
        return Ok(current);
    }
    // The age check below decides, whether or not the wait ended with a new read.
    let _ = tokio::time::timeout(FRESH_OPERATOR_ORDERS_WAIT, updated).await;
    let usable = local_leader.fresh_operator_orders(MAX_OPERATOR_ORDERS_AGE, state.clock.now());
    usable.ok_or(Refusal::NotRun {
        retry_after: RETRY_AFTER,
    })
}

/// Returns `refusal` if it follows from a fresh configuration; by an older one it may be wrong, and
/// the call is not run.
fn unless_fresh(is_fresh: bool, refusal: Refusal) -> Refusal {
    if is_fresh {
        refusal
    } else {
        Refusal::NotRun {
            retry_after: RETRY_AFTER,
        }
    }
}

/// Returns the organisation that makes the call. The keys of a configuration that is no longer
/// fresh may have been revoked.
fn authorise(
    config: &OperatorConfig,
    is_fresh: bool,
    queue: &Queue,
    call: &CallerCall,
) -> Result<Organisation, Refusal> {
    let public = || Organisation::from_text(PUBLIC_ORGANISATION);
    let Some(key) = &call.key else {
        return if queue.public {
            Ok(public())
        } else {
            Err(unless_fresh(is_fresh, Refusal::UnknownKey))
        };
    };
    match config.organisation(key) {
        _ if !is_fresh => Err(unless_fresh(is_fresh, Refusal::UnknownKey)),
        Some(organisation) => Ok(organisation.clone()),
        None if queue.public => Ok(public()),
        None => Err(Refusal::UnknownKey),
    }
}

fn job_state(
    local_leader: &LocalLeader,
    id: &JobId,
    organisation: &Organisation,
) -> Result<CallerAnswer, Refusal> {
    let job = local_leader
        .published_jobs
        .get(id)
        .ok_or(Refusal::UnknownJob)?;
    if job.organisation != *organisation {
        return Err(Refusal::OtherOrganisation);
    }
    Ok(CallerAnswer::State(job.state))
}

async fn cancel(
    local_leader: &LocalLeader,
    job: JobId,
    organisation: Organisation,
) -> Result<CallerAnswer, Refusal> {
    let (reply, answer) = oneshot::channel();
    let cancel = Command::Cancel {
        job,
        organisation,
        reply,
    };
    execute(local_leader, cancel, answer).await
}

async fn submit(
    local_leader: &LocalLeader,
    job: AcceptedJob,
    body: Arc<str>,
) -> Result<CallerAnswer, Refusal> {
    let (reply, answer) = oneshot::channel();
    let submit = Command::Submit {
        job: Arc::new(job),
        body,
        reply,
    };
    execute(local_leader, submit, answer).await
}

async fn execute(
    local_leader: &LocalLeader,
    command: Command,
    answer: oneshot::Receiver<CallerAnswer>,
) -> Result<CallerAnswer, Refusal> {
    let lost = |_| Refusal::MayHaveRun;
    // The coordinator accepts no commands after leadership is lost.
    local_leader
        .commands
        .send(command)
        .await
        .map_err(|_| Refusal::NotRun {
            retry_after: RETRY_AFTER,
        })?;
    answer.await.map_err(lost)
}
