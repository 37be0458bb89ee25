use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::CallerAction;
use rattanwinch_fleet::CallerAnswer;
use rattanwinch_fleet::CallerCall;
use rattanwinch_fleet::Refusal;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::JobId;
use rattanwinch_site_callers::decode_job;
use rattanwinch_site_operators::Queue;
use rattanwinch_types::Organisation;
use tokio::sync::oneshot;

use crate::commands::Command;
use crate::front_state::FrontState;
use crate::leading::Leading;
use crate::leading::ReadOrders;

/// Orders read within this time are in force; they have to be so 2 s after their confirmation.
const CURRENT: Duration = Duration::from_millis(1500);

/// How long a call waits for a newer read of the orders before older ones are used.
const READ_WAIT: Duration = Duration::from_millis(400);

/// Orders read longer ago than this decide nothing. A key that operators took away must not work
/// after 5 s; the rest is for the call's own time.
const LONGEST_AGE: Duration = Duration::from_millis(4000);

/// When a caller may come back after a call that wasn't run because orders or scheduler were out
/// of reach; a change of scheduler takes about as long.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Who a call without a key belongs to, where a queue allows that.
const PUBLIC: &str = "public";

/// Answers a call in the process that schedules.
pub(crate) async fn answer(
    state: &FrontState,
    leading: &Leading,
    call: &CallerCall,
) -> CallerAnswer {
    match try_answer(state, leading, call).await {
        Ok(answer) => answer,
        Err(refusal) => CallerAnswer::Refused(refusal),
    }
}

async fn try_answer(
    state: &FrontState,
    leading: &Leading,
    call: &CallerCall,
) -> Result<CallerAnswer, Refusal> {
    let read = current_orders(state, leading).await?;
    let (queue, rest) = read
        .orders
        .queue(&call.host, &call.path)
        .ok_or(Refusal::UnknownQueue)?;
    let organisation = authorise(&read, queue, call)?;
    if rest.is_empty() && call.action == CallerAction::Look {
        return Ok(CallerAnswer::Pending(leading.board.queued(&queue.name)));
    }
    if rest.is_empty() || rest.contains('/') {
        return Err(Refusal::Malformed(Arc::from("the path names no job")));
    }
    let id = JobId::from(rest);
    match &call.action {
        CallerAction::Look => look(leading, &id, &organisation),
        CallerAction::Cancel => cancel(leading, id, &organisation).await,
        CallerAction::Submit(body) => {
            let job = AcceptedJob {
                id,
                queue: queue.name.clone(),
                rules: queue.rules.clone(),
                organisation,
                accepted_at: state.clock.wall(),
                description: decode_job(body)
                    .map_err(|error| Refusal::Malformed(Arc::from(error.to_string())))?,
            };
            submit(leading, job, Arc::clone(body)).await
        }
    }
}

async fn current_orders(state: &FrontState, leading: &Leading) -> Result<Arc<ReadOrders>, Refusal> {
    let read = leading.orders_read.notified();
    if let Some(current) = leading.fresh_orders(CURRENT, state.clock.now()) {
        return Ok(current);
    }
    // Whether the wait ends with a read or without one, the age decides below.
    let _ = tokio::time::timeout(READ_WAIT, read).await;
    let usable = leading.fresh_orders(LONGEST_AGE, state.clock.now());
    usable.ok_or(Refusal::NotRun {
        retry_after: RETRY_AFTER,
    })
}

fn authorise(read: &ReadOrders, queue: &Queue, call: &CallerCall) -> Result<Organisation, Refusal> {
    let known = call
        .key
        .as_ref()
        .and_then(|key| read.orders.organisation(key));
    match known {
        Some(organisation) => Ok(organisation.clone()),
        None if queue.public => Organisation::new(PUBLIC).map_err(|_| Refusal::UnknownKey),
        None => Err(Refusal::UnknownKey),
    }
}

fn look(
    leading: &Leading,
    id: &JobId,
    organisation: &Organisation,
) -> Result<CallerAnswer, Refusal> {
    let job = leading.board.get(id).ok_or(Refusal::UnknownJob)?;
    if job.organisation != *organisation {
        return Err(Refusal::OtherOrganisation);
    }
    Ok(CallerAnswer::State(job.state))
}

async fn cancel(
    leading: &Leading,
    id: JobId,
    organisation: &Organisation,
) -> Result<CallerAnswer, Refusal> {
    let known = leading.board.get(&id);
    if known.is_some_and(|job| job.organisation != *organisation) {
        return Err(Refusal::OtherOrganisation);
    }
    let (reply, answer) = oneshot::channel();
    command(leading, Command::Cancel { job: id, reply }, answer).await
}

async fn submit(
    leading: &Leading,
    job: AcceptedJob,
    body: Arc<str>,
) -> Result<CallerAnswer, Refusal> {
    let known = leading.board.get(&job.id);
    if known.is_some_and(|known| known.organisation != job.organisation) {
        return Err(Refusal::OtherOrganisation);
    }
    let (reply, answer) = oneshot::channel();
    let submit = Command::Submit {
        job: Arc::new(job),
        body,
        reply,
    };
    command(leading, submit, answer).await
}

async fn command(
    leading: &Leading,
    command: Command,
    answer: oneshot::Receiver<CallerAnswer>,
) -> Result<CallerAnswer, Refusal> {
    let lost = |_| Refusal::MayHaveRun;
    // The coordinator takes nothing more once leadership is lost.
    leading
        .commands
        .send(command)
        .await
        .map_err(|_| Refusal::NotRun {
            retry_after: RETRY_AFTER,
        })?;
    answer.await.map_err(lost)
}
