//! What a caller gets when its job is not accepted, without a network.

use std::sync::Arc;
use std::time::Duration;

use poem::Endpoint as _;
use poem::Request;
use poem::http::Method;
use poem::http::StatusCode;
use rattanwinch_fleet::CallerAction;
use rattanwinch_fleet::CallerAnswer;
use rattanwinch_fleet::CallerCall;
use rattanwinch_fleet::Refusal;
use rattanwinch_fleet::WireAnswer;
use rattanwinch_site_callers::CallerBackend;
use rattanwinch_site_callers::caller_endpoint;

const NO_ROOM: CallerAnswer = CallerAnswer::Refused(Refusal::NoRoom {
    retry_after: Duration::from_millis(2_300),
});

/// A front whose leader refuses all jobs.
struct Refusing {
    /// An earlier attempt of the same call may have been carried out.
    may_have_run: bool,
}

impl CallerBackend for Refusing {
    async fn call(&self, call: CallerCall) -> CallerAnswer {
        assert!(matches!(call.action, CallerAction::Submit(_)));
        // The answer of the leader reaches the front as JSON.
        let wire = serde_json::to_string(&WireAnswer::from(NO_ROOM)).expect("an encoded answer");
        let wire: WireAnswer = serde_json::from_str(&wire).expect("a readable answer");
        let answer = CallerAnswer::from(wire);
        if self.may_have_run {
            answer.after_uncertain_attempt(&call.action)
        } else {
            answer
        }
    }

    fn is_ready(&self) -> bool {
        true
    }
}

async fn submit(may_have_run: bool) -> poem::Response {
    let endpoint = caller_endpoint(&Arc::new(Refusing { may_have_run }));
    let uri = "/jobs/1".parse().expect("a path");
    let request = Request::builder().method(Method::POST).uri(uri).body("{}");
    endpoint.get_response(request).await
}

/// Load: too much work at once. Guards against a refused caller that isn't told when to return, or
/// is told to before there is room.
#[tokio::test]
async fn a_job_without_room_is_answered_503_with_the_time_to_return() {
    let response = submit(false).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = response.header("Retry-After").map(str::to_owned);
    assert_eq!(retry_after.as_deref(), Some("3"));
    let body = response.into_body().into_string().await.expect("a body");
    let body: serde_json::Value = serde_json::from_str(&body).expect("JSON");
    assert!(body["error"].is_string(), "{body}");
}

/// Load: a change of leader under too much work. Guards against a refusal by the new leader of a job
/// that the earlier one may have accepted.
#[tokio::test]
async fn a_refusal_after_an_attempt_of_unknown_fate_is_answered_504() {
    let response = submit(true).await;
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
}
