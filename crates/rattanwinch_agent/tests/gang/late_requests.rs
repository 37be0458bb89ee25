//! Plain requests that reach the executor after the agent's permission has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_agent::AgentDaemon;
use rattanwinch_agent::Serving;
use rattanwinch_peers::AgentRpcClient as _;
use rattanwinch_peers::WirePlainAttempt;
use rattanwinch_peers::request_error;
use rattanwinch_runtime::Clock;
use rattanwinch_runtime::discard_logger;
use rattanwinch_targets::Executor;
use rattanwinch_targets::HttpExecutor;
use rattanwinch_targets::Result;
use rattanwinch_targets::TaskOrder;
use rattanwinch_targets::TaskReport;
use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::MemberKey;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;

use crate::support::TestSetup;
use crate::support::agent_settings;
use crate::support::member;

/// Longer than an answered heartbeat permits plain requests to start.
const FREEZE_DURATION: Duration = Duration::from_millis(2500);

/// Long enough not to affect the test.
const DEADLINE: Duration = Duration::from_secs(60);

/// Delays each plain request, like an agent that is frozen before it calls the executor.
struct DelayingExecutor(HttpExecutor);

impl Executor for DelayingExecutor {
    async fn run_request(
        &self,
        attempt: &AttemptKey,
        payload: &Arc<str>,
        limit: Duration,
        start_before: Timestamp,
    ) -> Result<Answer> {
        tokio::time::sleep(FREEZE_DURATION).await;
        let executor = &self.0;
        executor
            .run_request(attempt, payload, limit, start_before)
            .await
    }

    async fn load_task(&self, order: &TaskOrder) -> Result<()> {
        self.0.load_task(order).await
    }

    async fn run_task(&self, member: &MemberKey) -> Result<()> {
        self.0.run_task(member).await
    }

    async fn stop_task(&self, member: &MemberKey, mode: StopMode) -> Result<()> {
        self.0.stop_task(member, mode).await
    }

    async fn renew_task_leases(&self, members: &[MemberKey], lease: Duration) -> Result<()> {
        self.0.renew_task_leases(members, lease).await
    }

    async fn list_tasks(&self) -> Result<Vec<TaskReport>> {
        self.0.list_tasks().await
    }

    async fn task_output(&self, member: &MemberKey) -> Result<Answer> {
        self.0.task_output(member).await
    }

    async fn delete_task(&self, member: &MemberKey) -> Result<()> {
        self.0.delete_task(member).await
    }
}

async fn start_delayed_agent(
    executor: SocketAddr,
    entry: SocketAddr,
) -> AgentDaemon<DelayingExecutor, Serving> {
    let settings = agent_settings(executor, entry);
    let delaying_executor = DelayingExecutor(HttpExecutor::new(executor));
    let daemon = AgentDaemon::new(settings, delaying_executor, discard_logger());
    daemon.serve().await.expect("loopback can be bound")
}

/// Guards against an agent that is frozen between its decision and the call to the executor, and
/// continues after the zone was closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_reaches_the_executor_late_is_not_run() {
    let setup = TestSetup::start_with(Duration::from_millis(1), start_delayed_agent).await;
    setup
        .entry
        .change_response(|it| it.plain_when_stale = Duration::from_secs(60));
    setup.entry.wait_heartbeats(2).await;
    let incarnation = setup
        .entry
        .last_heartbeat()
        .expect("a heartbeat was received")
        .incarnation;
    let req = PlainRequest::builder()
        .key(member("order-1", 1, 0).attempt.key)
        .idempotent(true)
        .deadline(Clock::start().now() + DEADLINE)
        .payload("work_ms=0".into())
        .build();
    let order = WirePlainAttempt::new(&req, 1, incarnation);
    let run = setup.decider.run_request(order).await;
    let error = request_error(&run.expect_err("the permission has ended"));
    assert!(error.is_not_run(), "{error}");
    assert_eq!(setup.executor.started(), 0);
}
