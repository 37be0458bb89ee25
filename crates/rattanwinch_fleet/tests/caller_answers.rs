//! What a caller is told after several attempts of its call.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::CallerAction;
use rattanwinch_fleet::CallerAnswer;
use rattanwinch_fleet::Refusal;
use rattanwinch_scheduling::JobState;

const MAY_HAVE_RUN: CallerAnswer = CallerAnswer::Refused(Refusal::MayHaveRun);

fn refusals() -> Vec<Refusal> {
    let retry_after = Duration::from_secs(1);
    vec![
        Refusal::Malformed(Arc::from("the path names no job")),
        Refusal::TooLarge,
        Refusal::UnknownKey,
        Refusal::OtherOrganisation,
        Refusal::UnknownQueue,
        Refusal::NotAllowed,
        Refusal::UnknownJob,
        Refusal::NotRun { retry_after },
        Refusal::NoRoom { retry_after },
        Refusal::MayHaveRun,
    ]
}

fn submit() -> CallerAction {
    CallerAction::Submit(Arc::from("{}"))
}

/// Guards against a caller that is told that its key, queue or organisation is unknown, or its job
/// invalid, while an earlier attempt has submitted the job, or cancelled it.
#[test]
fn a_refusal_is_not_passed_on_after_an_attempt_of_unknown_fate() {
    for refusal in refusals() {
        let answer = CallerAnswer::Refused(refusal.clone());
        let to_submit = answer.clone().after_uncertain_attempt(&submit());
        assert_eq!(to_submit, MAY_HAVE_RUN, "{refusal:?}");
        let to_cancel = answer
            .clone()
            .after_uncertain_attempt(&CallerAction::Cancel);
        // A job that is unknown after the attempts will not run, which is what the caller wants.
        let expected = if refusal == Refusal::UnknownJob {
            answer.clone()
        } else {
            MAY_HAVE_RUN
        };
        assert_eq!(to_cancel, expected, "{refusal:?}");
        let to_query = answer.clone().after_uncertain_attempt(&CallerAction::Query);
        assert_eq!(to_query, answer, "a query has no effect");
    }
}

/// Guards against a success that is withheld because an earlier attempt was lost.
#[test]
fn a_success_is_passed_on_after_an_attempt_of_unknown_fate() {
    for (action, answer) in [
        (submit(), CallerAnswer::Accepted),
        (CallerAction::Cancel, CallerAnswer::Cancelled),
        (CallerAction::Query, CallerAnswer::State(JobState::Running)),
        (CallerAction::Query, CallerAnswer::Pending(3)),
    ] {
        assert_eq!(answer.clone().after_uncertain_attempt(&action), answer);
    }
}
