use std::time::Duration;

use rattanwinch_fleet::CallerAnswer;
use rattanwinch_fleet::CallerCall;
use rattanwinch_fleet::Refusal;
use rattanwinch_runtime::OUTCOME;
use rattanwinch_site_callers::CallerBackend;
use slog::info;

use crate::calls;
use crate::calls::RETRY_AFTER;
use crate::front_state::FrontState;

/// How long one attempt at the scheduler may take. A commit to a store at its slowest takes two
/// thirds of it; a frozen scheduler is given up after it.
const ATTEMPT: Duration = Duration::from_millis(900);

/// The pause before the scheduler is looked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// How long a call is held while no scheduler can be reached from here. The caller's next try
/// comes to another front, which may reach it; with four tries more than its deadline is covered.
const HOLD: Duration = Duration::from_millis(700);

/// The answer leaves this much before the caller stops waiting, or a twentieth of its time if
/// that is longer.
const MARGIN: Duration = Duration::from_millis(20);

/// What an attempt came to.
enum Attempt {
    Answered(CallerAnswer),
    NotRun,
    MayHaveRun,
}

impl CallerBackend for FrontState {
    /// Passes the call to the front that schedules, again if need be: calls carry the caller's
    /// own id, so a repetition is no second job.
    async fn call(&self, call: CallerCall) -> CallerAnswer {
        let started = self.clock.now();
        let limit = call.deadline.saturating_sub(MARGIN.max(call.deadline / 20));
        let mut may_have_run = false;
        let mut attempts = 0;
        let answer = loop {
            let held = self.clock.now().since(started);
            let left = limit.saturating_sub(held);
            if left.is_zero() || (held >= HOLD && !may_have_run) {
                break CallerAnswer::Refused(given_up(may_have_run));
            }
            let mut changes = self.leader_changes();
            attempts += 1;
            match self.attempt(&call, left).await {
                Attempt::Answered(answer) => break answer,
                Attempt::MayHaveRun => may_have_run = true,
                Attempt::NotRun => {}
            }
            // Whether the scheduler has changed or the pause is over, it is tried again.
            let _ = tokio::time::timeout(RETRY_PAUSE.min(left), changes.changed()).await;
        };
        let took = self.clock.now().since(started);
        metrics::histogram!("rattanwinch_call_seconds", "action" => call.action_name())
            .record(took.as_secs_f64());
        if let CallerAnswer::Refused(refusal) = &answer {
            info!(self.log, #OUTCOME, "call refused"; "path" => &*call.path,
                "action" => call.action_name(),
                "reason" => %refusal, "attempts" => attempts, "took_ms" => took.as_millis());
        }
        answer
    }

    fn is_ready(&self) -> bool {
        Self::is_ready(self)
    }
}

const fn given_up(may_have_run: bool) -> Refusal {
    if may_have_run {
        Refusal::MayHaveRun
    } else {
        Refusal::NotRun {
            retry_after: RETRY_AFTER,
        }
    }
}

impl FrontState {
    async fn attempt(&self, call: &CallerCall, left: Duration) -> Attempt {
        let limit = left.min(ATTEMPT);
        if let Some(leading) = self.leading() {
            let answer = tokio::time::timeout(left, calls::answer(self, &leading, call)).await;
            return answer.map_or(Attempt::MayHaveRun, judge);
        }
        let Some(leader) = self.leader() else {
            return Attempt::NotRun;
        };
        let mut changes = self.leader_changes();
        let answer = tokio::select! {
            answer = leader.client.call(call, limit) => answer,
            // The one that was asked has been replaced; its successor answers sooner.
            _ = changes.changed() => return Attempt::MayHaveRun,
        };
        match answer {
            Ok(answer) => judge(answer),
            Err(failure) if failure.is_not_run() => Attempt::NotRun,
            Err(_) => Attempt::MayHaveRun,
        }
    }
}

/// A scheduler that has lost its place in the middle of a call is no reason to give up.
fn judge(answer: CallerAnswer) -> Attempt {
    match answer {
        CallerAnswer::Refused(Refusal::MayHaveRun) => Attempt::MayHaveRun,
        CallerAnswer::Refused(Refusal::NotRun { .. }) => Attempt::NotRun,
        answer => Attempt::Answered(answer),
    }
}
