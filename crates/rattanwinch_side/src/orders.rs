use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_fleet::AgentOrders;
use rattanwinch_fleet::AgentRpcServer;
use rattanwinch_fleet::ORDER_TIME;
use rattanwinch_fleet::OrderResults;
use rattanwinch_fleet::WireLeader;
use rattanwinch_fleet::WireOrders;
use rattanwinch_fleet::WireResults;
use rattanwinch_runtime::OUTCOME;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::StartOrder;
use rattanwinch_scheduling::StartRefusal;
use rattanwinch_site_executors::ExecutorClient;
use rattanwinch_site_executors::ExecutorError;
use rattanwinch_site_executors::StartRequest;
use rattanwinch_types::Timestamp;
use slog::info;
use slog::warn;

use crate::executor_watch::look;
use crate::side_state::SideState;

/// How long one call to the executor may take; it answers in about a millisecond, or not at all.
const CALL_LIMIT: Duration = Duration::from_millis(300);

/// The pause before an order is sent again, doubled each time: an executor that is gone, or
/// resets its connections, fails a call at once.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the front that schedules.
pub(crate) struct OrderServer {
    pub state: Arc<SideState>,
}

#[async_trait]
impl AgentRpcServer for OrderServer {
    async fn execute(&self, orders: WireOrders) -> RpcResult<WireResults> {
        // An order that can't be read names no run, so there is nothing to answer for.
        let results = match AgentOrders::try_from(orders) {
            Ok(orders) => execute(&self.state, &orders).await,
            Err(error) => {
                warn!(self.state.log, "unreadable orders"; "error" => %error);
                OrderResults {
                    outcomes: Vec::new(),
                    report: None,
                }
            }
        };
        Ok(results.into())
    }

    async fn announce(&self, leader: WireLeader) -> RpcResult<()> {
        self.state.announce(leader.into());
        Ok(())
    }
}

/// Carries out all orders beside each other, then reads the target's lists again.
async fn execute(state: &Arc<SideState>, orders: &AgentOrders) -> OrderResults {
    let refusal = if state.obey(orders.epoch) {
        None
    } else {
        Some(StartRefusal::Fence)
    };
    let client = state
        .client()
        .filter(|client| *client.life() == orders.orders.instance);
    let Some(client) = client.filter(|_| refusal.is_none()) else {
        return refuse_all(state, orders, refusal);
    };
    state.acknowledge(client.life(), orders.acknowledged);
    let deadline = tokio::time::Instant::now() + ORDER_TIME;
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
            "target" => %client.life().target);
    }
    let looked = look(state, &client, None).await;
    OrderResults {
        outcomes,
        report: looked.is_ok().then(|| state.report()),
    }
}

/// Answers orders for another life or from a former scheduler.
fn refuse_all(
    state: &SideState,
    orders: &AgentOrders,
    refusal: Option<StartRefusal>,
) -> OrderResults {
    info!(state.log, #OUTCOME, "orders refused"; "epoch" => orders.epoch, "obeyed" => state.epoch(),
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
    let mut pause = REPEAT_PAUSE;
    while tokio::time::Instant::now() < deadline {
        let now = state.clock.now();
        let draining = state.with_view(client, |view| view.description().draining);
        if draining != Some(false) || now > valid_until || state.epoch() > epoch {
            break;
        }
        let lease = state.settings.vm.max_lease;
        let Some(until_ms) = state.with_view(client, |view| view.lease_end(lease, now)) else {
            break;
        };
        let req = StartRequest {
            order: order.clone(),
            until_ms,
            epoch,
        };
        sent = true;
        match client.start(&req, CALL_LIMIT).await {
            Ok(clock_ms) => {
                let now = state.clock.now();
                state.with_view(client, |view| {
                    view.start_confirmed(&order.run, clock_ms, now);
                });
                return OrderOutcome::Started;
            }
            Err(ExecutorError::Refused(refusal)) => return OrderOutcome::Refused(refusal),
            Err(ExecutorError::OtherLife) => return OrderOutcome::Unknown,
            // The same start can be repeated: a run that is there already stays as it is.
            Err(ExecutorError::MayBeDone(_)) => wait_to_repeat(&mut pause).await,
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
    let mut pause = REPEAT_PAUSE;
    while tokio::time::Instant::now() < deadline && state.epoch() <= epoch {
        match client.stop(run, epoch, CALL_LIMIT).await {
            Ok(_) => return OrderOutcome::Stopped,
            Err(ExecutorError::Refused(refusal)) => return OrderOutcome::Refused(refusal),
            Err(ExecutorError::OtherLife) => return OrderOutcome::Unknown,
            Err(ExecutorError::MayBeDone(_)) => wait_to_repeat(&mut pause).await,
        }
    }
    OrderOutcome::Unknown
}

async fn wait_to_repeat(pause: &mut Duration) {
    tokio::time::sleep(*pause).await;
    *pause *= 2;
}
