use std::time::Duration;

use rattanwinch_fleet::AgentOrders;
use rattanwinch_fleet::ORDER_BATCH_TIMEOUT;
use rattanwinch_scheduling::AdvisorQuery;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::TargetOrders;
use rattanwinch_types::Timestamp;
use slog::debug;
use slog::warn;

use crate::commands::Command;
use crate::coordinator::Coordinator;

/// Timeout of a call with orders: the time that the agent may spend on them, and 500 ms for the
/// network.
const ORDER_CALL_TIMEOUT: Duration = ORDER_BATCH_TIMEOUT.saturating_add(Duration::from_millis(500));

/// Timeout of a query to the advisor beyond its configured duration, since other queries may be
/// queued before this one.
const ADVISOR_GRACE: Duration = Duration::from_millis(700);

impl Coordinator {
    /// Sends orders to the agent of their target; the answer arrives as a command.
    pub(super) fn send_orders(&self, orders: TargetOrders, now: Timestamp) {
        let starts = orders.starts.iter().map(|start| &start.run);
        let runs: Vec<RunId> = starts.chain(&orders.stops).cloned().collect();
        let agent = self.agents.for_instance(&orders.instance);
        let call = agent.map(|agent| {
            let orders = AgentOrders {
                epoch: self.local_leader.info.epoch,
                valid_until: agent.valid_until(now),
                acknowledged: self.scheduler.acknowledged_sequence(&orders.instance),
                orders,
            };
            (agent.client.clone(), orders)
        });
        let commands = self.local_leader.commands.clone();
        let log = self.state.log.clone();
        tokio::spawn(async move {
            let results = match call {
                Some((client, orders)) => {
                    let answer = client.execute(&orders, ORDER_CALL_TIMEOUT).await;
                    if let Err(error) = &answer {
                        warn!(log, "orders unanswered"; "error" => %error,
                            "target" => %orders.orders.instance.target, "runs" => runs.len());
                    }
                    answer.ok()
                }
                None => None,
            };
            if commands
                .send(Command::AgentAnswered { runs, results })
                .await
                .is_err()
            {
                debug!(log, "order results dropped: the coordinator has stopped");
            }
        });
    }

    /// Sends a query to the advisor; the response arrives as a command.
    pub(super) fn query_advisor(&self, query: AdvisorQuery, now: Timestamp) {
        let timeout = self
            .scheduler
            .expected_advisor_latency(&query)
            .unwrap_or_default()
            + ADVISOR_GRACE;
        let advisor = self.advisor.clone();
        let commands = self.local_leader.commands.clone();
        let log = self.state.log.clone();
        tokio::spawn(async move {
            let answer = match advisor {
                Some(advisor) => advisor
                    .query(&query, timeout)
                    .await
                    .map_err(|error| error.to_string()),
                None => Err("no advisor in the settings".to_owned()),
            };
            if let Err(error) = &answer {
                warn!(log, "no advice"; "job" => %query.step.job, "error" => error);
            }
            let command = Command::AdvisorResponded {
                query,
                answer: answer.ok(),
                sent_at: now,
            };
            if commands.send(command).await.is_err() {
                debug!(log, "advice dropped: the coordinator has stopped");
            }
        });
    }
}
