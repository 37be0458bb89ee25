use std::time::Duration;

use rattanwinch_fleet::AgentOrders;
use rattanwinch_fleet::ORDER_TIME;
use rattanwinch_scheduling::AdvisorQuery;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::TargetOrders;
use rattanwinch_types::Timestamp;
use slog::debug;
use slog::warn;

use crate::commands::Command;
use crate::coordinator::Coordinator;

/// An order's answer is awaited for as long as the agent may work on it, and for its way.
const ORDER_LIMIT: Duration = ORDER_TIME.saturating_add(Duration::from_millis(500));

/// The advisor is given this much more than it says that it takes; other questions wait.
const ADVISOR_GRACE: Duration = Duration::from_millis(700);

impl Coordinator {
    /// Sends orders to the agent beside their target; the answer comes as a command.
    pub(super) fn send(&self, orders: TargetOrders, now: Timestamp) {
        let starts = orders.starts.iter().map(|start| &start.run);
        let runs: Vec<RunId> = starts.chain(&orders.stops).cloned().collect();
        let agent = self.agents.beside(&orders.instance);
        let call = agent.map(|agent| {
            let orders = AgentOrders {
                epoch: self.leading.info.epoch,
                valid_until: agent.valid_until(now),
                acknowledged: self.scheduler.acknowledged_sequence(&orders.instance),
                orders,
            };
            (agent.client.clone(), orders)
        });
        let commands = self.leading.commands.clone();
        let log = self.state.log.clone();
        tokio::spawn(async move {
            let results = match call {
                Some((client, orders)) => {
                    let answer = client.execute(&orders, ORDER_LIMIT).await;
                    if let Err(error) = &answer {
                        warn!(log, "orders unanswered"; "error" => %error,
                            "target" => %orders.orders.instance.target, "runs" => runs.len());
                    }
                    answer.ok()
                }
                None => None,
            };
            if commands
                .send(Command::Ordered { runs, results })
                .await
                .is_err()
            {
                debug!(log, "orders answered after the scheduler ended");
            }
        });
    }

    /// Asks the advisor; the answer comes as a command.
    pub(super) fn ask(&self, question: AdvisorQuery, now: Timestamp) {
        let limit = self
            .scheduler
            .expected_advisor_latency(&question)
            .unwrap_or_default()
            + ADVISOR_GRACE;
        let advisor = self.advisor.clone();
        let commands = self.leading.commands.clone();
        let log = self.state.log.clone();
        tokio::spawn(async move {
            let answer = match advisor {
                Some(advisor) => advisor
                    .ask(&question, limit)
                    .await
                    .map_err(|error| error.to_string()),
                None => Err("no advisor in the settings".to_owned()),
            };
            if let Err(error) = &answer {
                warn!(log, "no advice"; "job" => %question.step.job, "error" => error);
            }
            let advised = Command::Advised {
                question,
                answer: answer.ok(),
                sent_at: now,
            };
            if commands.send(advised).await.is_err() {
                debug!(log, "advice came after the scheduler ended");
            }
        });
    }
}
