use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::AdvisorTiming;
use crate::StepId;
use crate::Ticket;

/// A ticket is renewed once less than this is left, so that a start still reaches its target;
/// an order takes a commit to the store and two calls, each well under 100 ms.
const LEAST_VALIDITY: Duration = Duration::from_millis(500);

/// The wait after a question that the advisor didn't answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The most targets in one question; the advisor's own limit.
const MAX_TARGETS: usize = 100;

value! {
    /// A question to the advisor.
    pub struct AdvisorQuery {
        /// The step that is to run.
        pub step: StepId,
        /// The targets that it may run on.
        pub targets: Vec<TargetName>,
    }
}

value! {
    /// The advisor's answer.
    pub struct AdvisorResponse {
        /// The targets that may run the step, with the proof for each.
        pub allowed: Vec<(TargetName, Ticket)>,
        /// How long the tickets hold, from when the question was sent.
        pub validity: Duration,
    }
}

#[derive(Clone, Debug, Default)]
struct StepAdvice {
    /// Targets that the advisor was asked about; its word on a step doesn't change.
    asked: BTreeSet<TargetName>,
    tickets: BTreeMap<TargetName, Ticket>,
    valid_until: Timestamp,
}

/// What the advisor has said, and what it is to be asked.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    steps: BTreeMap<StepId, StepAdvice>,
    wanted: BTreeMap<StepId, BTreeSet<TargetName>>,
    in_flight: bool,
    retry_at: Timestamp,
}

impl Advice {
    /// The ticket for a step on a target; notes the question that is missing.
    pub(crate) fn ticket(
        &mut self,
        step: &StepId,
        target: &TargetName,
        now: Timestamp,
    ) -> Option<Ticket> {
        let advice = self.steps.entry(step.clone()).or_default();
        let known = advice.asked.contains(target);
        let ticket = advice.tickets.get(target);
        if known && ticket.is_none() {
            return None;
        }
        if let Some(ticket) = ticket
            && now + LEAST_VALIDITY < advice.valid_until
        {
            return Some(ticket.clone());
        }
        let wanted = self.wanted.entry(step.clone()).or_default();
        wanted.insert(target.clone());
        None
    }

    /// The next question, of which there is one at a time.
    pub(crate) fn question(&mut self, now: Timestamp) -> Option<AdvisorQuery> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let (step, targets) = self.wanted.pop_first()?;
        self.in_flight = true;
        Some(AdvisorQuery {
            step,
            targets: targets.into_iter().take(MAX_TARGETS).collect(),
        })
    }

    pub(crate) fn answered(
        &mut self,
        question: &AdvisorQuery,
        answer: Option<AdvisorResponse>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        self.in_flight = false;
        let Some(answer) = answer else {
            self.retry_at = now + RETRY_DELAY;
            return;
        };
        let advice = self.steps.entry(question.step.clone()).or_default();
        advice.asked.extend(question.targets.iter().cloned());
        for (target, ticket) in answer.allowed {
            advice.tickets.insert(target, ticket);
        }
        advice.valid_until = sent_at + answer.validity;
    }

    /// Forgets the tickets of a step, after a target refused one.
    pub(crate) fn invalidate(&mut self, step: &StepId) {
        if let Some(advice) = self.steps.get_mut(step) {
            advice.valid_until = Timestamp::ZERO;
        }
    }

    /// Forgets what was said of a target, whose next instance the advisor judges anew.
    pub(crate) fn forget_target(&mut self, target: &TargetName) {
        for advice in self.steps.values_mut() {
            advice.asked.remove(target);
            advice.tickets.remove(target);
        }
    }

    /// Forgets steps that need no advice any more.
    pub(crate) fn retain(&mut self, wanted: impl Fn(&StepId) -> bool) {
        self.steps.retain(|step, _| wanted(step));
        self.wanted.retain(|step, _| wanted(step));
    }

    /// How long a question for `targets` targets keeps the advisor busy.
    pub(crate) fn expected_time(times: AdvisorTiming, targets: usize) -> Duration {
        let targets = u32::try_from(targets).unwrap_or(u32::MAX);
        times.base + times.per_target * targets
    }
}
