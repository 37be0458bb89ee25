use std::sync::Arc;

use rattanwinch_scheduling::Checkpoint;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::StartOrder;
use rattanwinch_scheduling::StartRefusal;
use rattanwinch_scheduling::TargetOrders;
use rattanwinch_scheduling::Ticket;
use rattanwinch_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;

use crate::AgentOrders;
use crate::AgentReport;
use crate::OrderResults;
use crate::WireReport;
use crate::wire::reports::WireInstance;
use crate::wire::reports::WireRun;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireStart {
    run: WireRun,
    payload: Arc<str>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    saved: Option<Arc<str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ticket: Option<Arc<str>>,
}

/// [`AgentOrders`] on the wire.
#[derive(Clone, Serialize, Deserialize)]
pub struct WireOrders {
    epoch: u64,
    valid_until_ms: u64,
    acknowledged: u64,
    life: WireInstance,
    starts: Vec<WireStart>,
    stops: Vec<WireRun>,
}

impl std::fmt::Debug for WireOrders {
    /// Leaves out the tasks' payloads.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WireOrders")
            .field("epoch", &self.epoch)
            .field("life", &self.life)
            .field("starts", &self.starts.len())
            .field("stops", &self.stops)
            .finish_non_exhaustive()
    }
}

impl From<&AgentOrders> for WireOrders {
    fn from(orders: &AgentOrders) -> Self {
        let starts = orders.orders.starts.iter().map(|start| WireStart {
            run: (&start.run).into(),
            payload: Arc::clone(&start.payload),
            saved: start
                .checkpoint
                .as_ref()
                .map(|saved| Arc::from(saved.as_str())),
            ticket: start
                .ticket
                .as_ref()
                .map(|ticket| Arc::from(ticket.as_str())),
        });
        Self {
            epoch: orders.epoch,
            valid_until_ms: orders.valid_until.as_millis(),
            acknowledged: orders.acknowledged,
            life: (&orders.orders.instance).into(),
            starts: starts.collect(),
            stops: orders.orders.stops.iter().map(WireRun::from).collect(),
        }
    }
}

impl From<WireOrders> for AgentOrders {
    fn from(wire: WireOrders) -> Self {
        let starts = wire.starts.into_iter().map(|start| StartOrder {
            run: start.run.into(),
            payload: start.payload,
            checkpoint: start.saved.map(|saved| Checkpoint::from(&*saved)),
            ticket: start.ticket.map(|ticket| Ticket::from(&*ticket)),
        });
        Self {
            epoch: wire.epoch,
            valid_until: Timestamp::from_millis(wire.valid_until_ms),
            acknowledged: wire.acknowledged,
            orders: TargetOrders {
                instance: wire.life.into(),
                starts: starts.collect(),
                stops: wire.stops.into_iter().map(Into::into).collect(),
            },
        }
    }
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireOutcome {
    Started,
    Stopped,
    Unknown,
    Fence,
    Old,
    Late,
    Room,
    Ticket,
    Unhealthy,
    NotSent,
    Invalid,
}

impl From<OrderOutcome> for WireOutcome {
    fn from(outcome: OrderOutcome) -> Self {
        match outcome {
            OrderOutcome::Started => Self::Started,
            OrderOutcome::Stopped => Self::Stopped,
            OrderOutcome::Unknown => Self::Unknown,
            OrderOutcome::Refused(refusal) => match refusal {
                StartRefusal::Fence => Self::Fence,
                StartRefusal::Old => Self::Old,
                StartRefusal::Late => Self::Late,
                StartRefusal::Room => Self::Room,
                StartRefusal::Ticket => Self::Ticket,
                StartRefusal::Unhealthy => Self::Unhealthy,
                StartRefusal::NotSent => Self::NotSent,
                StartRefusal::Invalid => Self::Invalid,
            },
        }
    }
}

impl From<WireOutcome> for OrderOutcome {
    fn from(wire: WireOutcome) -> Self {
        match wire {
            WireOutcome::Started => Self::Started,
            WireOutcome::Stopped => Self::Stopped,
            WireOutcome::Unknown => Self::Unknown,
            WireOutcome::Fence => Self::Refused(StartRefusal::Fence),
            WireOutcome::Old => Self::Refused(StartRefusal::Old),
            WireOutcome::Late => Self::Refused(StartRefusal::Late),
            WireOutcome::Room => Self::Refused(StartRefusal::Room),
            WireOutcome::Ticket => Self::Refused(StartRefusal::Ticket),
            WireOutcome::Unhealthy => Self::Refused(StartRefusal::Unhealthy),
            WireOutcome::NotSent => Self::Refused(StartRefusal::NotSent),
            WireOutcome::Invalid => Self::Refused(StartRefusal::Invalid),
        }
    }
}

/// [`OrderResults`] on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireResults {
    outcomes: Vec<(WireRun, WireOutcome)>,
    report: Option<WireReport>,
}

impl From<OrderResults> for WireResults {
    fn from(results: OrderResults) -> Self {
        let outcomes = results.outcomes.iter();
        Self {
            outcomes: outcomes
                .map(|(run, outcome)| (run.into(), (*outcome).into()))
                .collect(),
            report: results.report.as_ref().map(WireReport::from),
        }
    }
}

impl From<WireResults> for OrderResults {
    fn from(wire: WireResults) -> Self {
        let outcomes = wire.outcomes.into_iter();
        Self {
            outcomes: outcomes
                .map(|(run, outcome)| (run.into(), outcome.into()))
                .collect(),
            report: wire.report.map(AgentReport::from),
        }
    }
}
