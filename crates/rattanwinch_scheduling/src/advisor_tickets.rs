use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::AdvisorTiming;
use crate::StepId;
use crate::Ticket;

/// Tickets with less validity than this are renewed, so that a start reaches its target in time.
/// An order takes a commit to the store and two calls, each well under 100 ms.
const MIN_REMAINING_VALIDITY: Duration = Duration::from_millis(500);

/// The delay before the advisor is queried again after a failed query.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The maximum number of targets in a query, a limit of the advisor.
const MAX_QUERY_TARGETS: usize = 100;

value! {
    /// A query to the advisor: which of the targets may run the step.
    pub struct AdvisorQuery {
        /// The step to run.
        pub step: StepId,
        /// The candidate targets.
        pub targets: Vec<TargetName>,
    }
}

value! {
    /// The response of the advisor.
    pub struct AdvisorResponse {
        /// The targets that may run the step, with a ticket for each.
        pub allowed: Vec<(TargetName, Ticket)>,
        /// How long the tickets are valid, measured from sending the query.
        pub validity: Duration,
    }
}

#[derive(Clone, Debug, Default)]
struct StepTickets {
    /// Targets that the advisor was queried about; its answer for a step does not change.
    queried: BTreeSet<TargetName>,
    tickets: BTreeMap<TargetName, Ticket>,
    valid_until: Timestamp,
}

/// Tickets from the advisor, and the queries to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct TicketCache {
    steps: BTreeMap<StepId, StepTickets>,
    pending: BTreeMap<StepId, BTreeSet<TargetName>>,
    in_flight: bool,
    retry_at: Timestamp,
}

impl TicketCache {
    /// Returns a valid ticket for a step on a target; otherwise queues a query for it.
    pub(crate) fn ticket(
        &mut self,
        step: &StepId,
        target: &TargetName,
        now: Timestamp,
    ) -> Option<Ticket> {
        let step_tickets = self.steps.entry(step.clone()).or_default();
        let is_queried = step_tickets.queried.contains(target);
        let ticket = step_tickets.tickets.get(target);
        if is_queried && ticket.is_none() {
            return None;
        }
        if let Some(ticket) = ticket
            && now + MIN_REMAINING_VALIDITY < step_tickets.valid_until
        {
            return Some(ticket.clone());
        }
        let pending = self.pending.entry(step.clone()).or_default();
        pending.insert(target.clone());
        None
    }

    /// Returns the next query; only one query is in flight at a time.
    pub(crate) fn next_query(&mut self, now: Timestamp) -> Option<AdvisorQuery> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let (step, targets) = self.pending.pop_first()?;
        self.in_flight = true;
        Some(AdvisorQuery {
            step,
            targets: targets.into_iter().take(MAX_QUERY_TARGETS).collect(),
        })
    }

    pub(crate) fn handle_response(
        &mut self,
        query: &AdvisorQuery,
        response: Option<AdvisorResponse>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        self.in_flight = false;
        let Some(response) = response else {
            self.retry_at = now + QUERY_RETRY_DELAY;
            return;
        };
        let step_tickets = self.steps.entry(query.step.clone()).or_default();
        step_tickets.queried.extend(query.targets.iter().cloned());
        for (target, ticket) in response.allowed {
            step_tickets.tickets.insert(target, ticket);
        }
        step_tickets.valid_until = sent_at + response.validity;
    }

    /// Expires the tickets of a step, after a target has refused one.
    pub(crate) fn invalidate(&mut self, step: &StepId) {
        if let Some(step_tickets) = self.steps.get_mut(step) {
            step_tickets.valid_until = Timestamp::ZERO;
        }
    }

    /// Removes the tickets of a target; the advisor is queried again for its next instance.
    pub(crate) fn forget_target(&mut self, target: &TargetName) {
        for step_tickets in self.steps.values_mut() {
            step_tickets.queried.remove(target);
            step_tickets.tickets.remove(target);
        }
    }

    /// Removes the tickets of a step.
    pub(crate) fn forget_step(&mut self, step: &StepId) {
        self.steps.remove(step);
        self.pending.remove(step);
    }

    /// Removes the steps that no longer need tickets.
    pub(crate) fn retain(&mut self, is_needed: impl Fn(&StepId) -> bool) {
        self.steps.retain(|step, _| is_needed(step));
        self.pending.retain(|step, _| is_needed(step));
    }

    /// Returns the expected latency of a query for the given number of targets.
    pub(crate) fn expected_latency(timing: AdvisorTiming, targets: usize) -> Duration {
        let targets = u32::try_from(targets).unwrap_or(u32::MAX);
        timing.base + timing.per_target * targets
    }
}
