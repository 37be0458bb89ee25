use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_fleet::AgentOrders;
use rattanwinch_fleet::AgentRpcServer;
use rattanwinch_fleet::ORDER_BATCH_TIMEOUT;
use rattanwinch_fleet::OrderResults;
use rattanwinch_fleet::WireLeader;
use rattanwinch_fleet::WireOrders;
use rattanwinch_fleet::WireResults;
use rattanwinch_runtime::OUTCOME_TAG;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::StartOrder;
use rattanwinch_scheduling::StartRefusal;
use rattanwinch_site_executors::ExecutorClient;
use rattanwinch_site_executors::ExecutorError;
use rattanwinch_site_executors::StartRequest;
use rattanwinch_types::Timestamp;
use slog::info;

use crate::executor_watch::poll_lists;
use crate::side_state::SideState;

/// Timeout of a call to the executor, which answers in about a millisecond or not at all.
const EXECUTOR_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Initial backoff before an order is resent, doubled with each retry. A terminated executor, or
/// one that resets its connections, fails a call at once.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// RPC server for the leader.
pub(crate) struct OrderServer {
    pub state: Arc<SideState>,
}

#[async_trait]
impl AgentRpcServer for OrderServer {
    async fn execute(&self, orders: WireOrders) -> RpcResult<WireResults> {
        let results = execute(&self.state, &AgentOrders::from(orders)).await;
        Ok(results.into())
    }

    async fn announce(&self, leader: WireLeader) -> RpcResult<()> {
        self.state.handle_announcement(leader.into());
        Ok(())
    }
}

/// Carries out all orders concurrently, then reads the target's lists again.
async fn execute(state: &Arc<SideState>, orders: &AgentOrders) -> OrderResults {
    let refusal = if state.accept_epoch(orders.epoch) {
        None
    } else {
        Some(StartRefusal::Fence)
    };
    let client = state
        .client()
        .filter(|client| *client.instance() == orders.orders.instance);
    let Some(client) = client.filter(|_| refusal.is_none()) else {
        return refuse_all(state, orders, refusal);
    };
    state.acknowledge(client.instance(), orders.acknowledged);
    let deadline = tokio::time::Instant::now() + ORDER_BATCH_TIMEOUT;
    let mut calls = tokio::task::JoinSet::new();
    for start in orders.orders.starts.iter().cloned() {
        let (state, client) = (Arc::clone(state), client.clone());
        let (epoch, valid_until) = (orders.epoch, orders.valid_until);
        calls.spawn(async move {
            let run = start.run.clone();
            let outcome = start_run(&state, &client, start, epoch, valid_until, deadline).await;
            (run, outcome)
        });
    }
    for run in orders.orders.stops.iter().cloned() {
        let (state, client, epoch) = (Arc::clone(state), client.clone(), orders.epoch);
        calls.spawn(async move {
            let outcome = stop_run(&state, &client, &run, epoch, deadline).await;
            (run, outcome)
        });
    }
    let outcomes = calls.join_all().await;
    for (run, outcome) in &outcomes {
        info!(state.log, "order carried out"; "job" => %run.task.step.job,
            "run" => run.within_job(), "outcome" => ?outcome, "epoch" => orders.epoch,
            "target" => %client.instance().target, "born_ms" => client.instance().started_at_ms);
    }
    let polled = poll_lists(state, &client, None).await;
    OrderResults {
        outcomes,
        report: polled.is_ok().then(|| state.report()),
    }
}

/// Refuses orders for another instance or from a former leader.
fn refuse_all(
    state: &SideState,
    orders: &AgentOrders,
    refusal: Option<StartRefusal>,
) -> OrderResults {
    info!(state.log, #OUTCOME_TAG, "orders refused";
        "epoch" => orders.epoch, "obeyed" => state.epoch(),
        "target" => %orders.orders.instance.target);
    let outcome = refusal.map_or(OrderOutcome::Unknown, OrderOutcome::Refused);
    let starts = orders.orders.starts.iter().map(|start| &start.run);
    let runs: Vec<RunId> = starts.chain(&orders.orders.stops).cloned().collect();
    OrderResults {
        outcomes: runs.into_iter().map(|run| (run, outcome)).collect(),
        report: Some(state.report()),
    }
}

async fn start_run(
    state: &SideState,
    client: &ExecutorClient,
    order: StartOrder,
    epoch: u64,
    valid_until: Timestamp,
    deadline: tokio::time::Instant,
) -> OrderOutcome {
    let mut sent = false;
    let mut backoff = RETRY_BACKOFF;
    while tokio::time::Instant::now() < deadline {
        let now = state.clock.now();
        let draining = state.update_view(client, |view| view.description().draining);
        if draining != Some(false) || now > valid_until || state.epoch() > epoch {
            break;
        }
        // A request that a partition or the executor delays must not start the run after the order
        // has expired, when the target may have been closed. Polls renew the lease soon after.
        let lease = valid_until.since(now).min(state.lease_length());
        let steady = state.clock.steady();
        let granted = state.update_view(client, |view| view.grant_lease(lease, steady));
        let Some((lease_end_ms, grant)) = granted else {
            break;
        };
        let req = StartRequest {
            order: order.clone(),
            lease_end_ms,
            epoch,
        };
        let answer = client.start(&req, EXECUTOR_CALL_TIMEOUT).await;
        let may_be_received = !matches!(answer, Err(ExecutorError::NotSent(_)));
        state.update_view(client, |view| view.settle_lease(grant, may_be_received));
        sent |= may_be_received;
        match answer {
            Ok(clock_ms) => {
                let now = state.clock.steady();
                state.update_view(client, |view| {
                    view.record_start(&order.run, clock_ms, now);
                });
                return OrderOutcome::Started;
            }
            Err(ExecutorError::Refused(refusal)) => return OrderOutcome::Refused(refusal),
            Err(ExecutorError::OtherInstance) => return OrderOutcome::Unknown,
            // A start can be repeated: a run that is present stays unchanged.
            Err(ExecutorError::MayHaveRun(_) | ExecutorError::NotSent(_)) => {
                back_off(&mut backoff).await;
            }
        }
    }
    if sent {
        OrderOutcome::Unknown
    } else {
        OrderOutcome::Refused(StartRefusal::NotSent)
    }
}

async fn stop_run(
    state: &SideState,
    client: &ExecutorClient,
    run: &RunId,
    epoch: u64,
    deadline: tokio::time::Instant,
) -> OrderOutcome {
    let mut backoff = RETRY_BACKOFF;
    while tokio::time::Instant::now() < deadline && state.epoch() <= epoch {
        match client.stop(run, epoch, EXECUTOR_CALL_TIMEOUT).await {
            Ok(_) => return OrderOutcome::Stopped,
            Err(ExecutorError::Refused(refusal)) => return OrderOutcome::Refused(refusal),
            Err(ExecutorError::OtherInstance) => return OrderOutcome::Unknown,
            Err(ExecutorError::MayHaveRun(_) | ExecutorError::NotSent(_)) => {
                back_off(&mut backoff).await;
            }
        }
    }
    OrderOutcome::Unknown
}

async fn back_off(backoff: &mut Duration) {
    tokio::time::sleep(*backoff).await;
    *backoff *= 2;
}
