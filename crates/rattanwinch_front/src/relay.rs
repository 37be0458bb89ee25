use std::time::Duration;

use rattanwinch_fleet::CallerAnswer;
use rattanwinch_fleet::CallerCall;
use rattanwinch_fleet::Refusal;
use rattanwinch_runtime::OUTCOME_TAG;
use rattanwinch_site_callers::CallerBackend;
use slog::info;

use crate::calls;
use crate::calls::RETRY_AFTER;
use crate::front_state::FrontState;

/// Timeout of one attempt to forward a call to the leader. A commit to the store at its slowest
/// takes two thirds of it. The call to a frozen leader is abandoned after it.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);

/// Backoff before the leader is looked up again.
const RETRY_BACKOFF: Duration = Duration::from_millis(40);

/// How long a call is held while this front can't reach a leader. The caller's next try goes to
/// another front, which may reach the leader; four tries cover more than the caller's deadline.
const MAX_HOLD_TIME: Duration = Duration::from_millis(700);

/// Minimum time before the caller's deadline at which the answer is sent; a twentieth of the
/// deadline if that is longer.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Outcome of one attempt to forward a call.
enum ForwardOutcome {
    Answered(CallerAnswer),
    NotRun,
    MayHaveRun,
}

impl CallerBackend for FrontState {
    /// Forwards the call to the leader, with retries. Calls carry the caller's own id, so a
    /// repetition submits no second job.
    async fn call(&self, call: CallerCall) -> CallerAnswer {
        let started = self.clock.now();
        let limit = call
            .deadline
            .saturating_sub(ANSWER_MARGIN.max(call.deadline / 20));
        let mut may_have_run = false;
        let mut attempts = 0;
        let answer = loop {
            let waited = self.clock.now().since(started);
            let remaining = limit.saturating_sub(waited);
            if remaining.is_zero() || (waited >= MAX_HOLD_TIME && !may_have_run) {
                break CallerAnswer::Refused(timeout_refusal(may_have_run));
            }
            let mut changes = self.leader_changes();
            attempts += 1;
            match self.forward(&call, remaining).await {
                ForwardOutcome::Answered(answer) if may_have_run => {
                    break answer.after_uncertain_attempt(&call.action);
                }
                ForwardOutcome::Answered(answer) => break answer,
                ForwardOutcome::MayHaveRun => may_have_run = true,
                ForwardOutcome::NotRun => {}
            }
            // Retries when the leader changes or the backoff ends, whichever comes first.
            let _ = tokio::time::timeout(RETRY_BACKOFF.min(remaining), changes.changed()).await;
        };
        let took = self.clock.now().since(started);
        metrics::histogram!("rattanwinch_call_seconds", "action" => call.action_name())
            .record(took.as_secs_f64());
        if let CallerAnswer::Refused(refusal) = &answer {
            info!(self.log, #OUTCOME_TAG, "call refused"; "path" => &*call.path,
                "action" => call.action_name(),
                "reason" => %refusal, "attempts" => attempts, "took_ms" => took.as_millis());
        }
        answer
    }

    fn is_ready(&self) -> bool {
        Self::is_ready(self)
    }
}

const fn timeout_refusal(may_have_run: bool) -> Refusal {
    if may_have_run {
        Refusal::MayHaveRun
    } else {
        Refusal::NotRun {
            retry_after: RETRY_AFTER,
        }
    }
}

impl FrontState {
    async fn forward(&self, call: &CallerCall, remaining: Duration) -> ForwardOutcome {
        let limit = remaining.min(ATTEMPT_TIMEOUT);
        if let Some(local_leader) = self.local_leader() {
            let answer =
                tokio::time::timeout(remaining, calls::handle_call(self, &local_leader, call))
                    .await;
            return answer.map_or(ForwardOutcome::MayHaveRun, classify_answer);
        }
        let Some(leader) = self.remote_leader() else {
            return ForwardOutcome::NotRun;
        };
        let mut changes = self.leader_changes();
        let answer = tokio::select! {
            answer = leader.client.call(call, limit) => answer,
            // The leader has been replaced; its successor answers sooner.
            _ = changes.changed() => return ForwardOutcome::MayHaveRun,
        };
        match answer {
            Ok(answer) => classify_answer(answer),
            Err(error) if error.is_not_run() => ForwardOutcome::NotRun,
            Err(_) => ForwardOutcome::MayHaveRun,
        }
    }
}

/// Classifies an answer; an attempt is retried if the leader lost its leadership during the call.
fn classify_answer(answer: CallerAnswer) -> ForwardOutcome {
    match answer {
        CallerAnswer::Refused(Refusal::MayHaveRun) => ForwardOutcome::MayHaveRun,
        CallerAnswer::Refused(Refusal::NotRun { .. }) => ForwardOutcome::NotRun,
        answer => ForwardOutcome::Answered(answer),
    }
}
