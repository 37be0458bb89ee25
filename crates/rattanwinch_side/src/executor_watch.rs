use std::sync::Arc;
use std::time::Duration;

use rattanwinch_site_executors::ExecutorClient;
use rattanwinch_site_executors::ExecutorError;
use rattanwinch_site_executors::ListRequest;
use slog::warn;

use crate::side_state::SideState;

/// How long a poll of the executor's lists waits for a run to end. Leases are several times as
/// long as this, and each poll costs processor time on the VM.
const LIST_POLL_WAIT: Duration = Duration::from_millis(1500);

/// How long a poll may take beyond its wait before the executor counts as unresponsive.
const POLL_GRACE: Duration = Duration::from_millis(700);

/// Backoff after a failed poll.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Polls the executor and renews its lease for as long as the daemon runs.
pub(crate) async fn poll_executor(state: Arc<SideState>) {
    let mut instance_changes = state.instance_changes();
    loop {
        instance_changes.mark_unchanged();
        let Some(client) = state.client() else {
            if instance_changes.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            () = poll_instance(&state, &client) => {}
            changed = instance_changes.changed() => if changed.is_err() { return },
        }
    }
}

/// Polls one instance of the executor until another one answers.
async fn poll_instance(state: &SideState, client: &ExecutorClient) {
    // The first poll doesn't wait, so that the scheduler learns the running tasks at once.
    let mut wait = None;
    loop {
        let polled = tokio::select! {
            polled = poll_lists(state, client, wait) => polled,
            () = state.poll_needed.notified() => {
                wait = None;
                continue;
            }
        };
        match polled {
            Ok(()) => wait = Some(LIST_POLL_WAIT),
            Err(ExecutorError::OtherInstance) => {
                return state.remove_target(client, "another instance answers");
            }
            Err(error) => {
                mark_unresponsive(state, client, &error);
                wait = None;
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

fn mark_unresponsive(state: &SideState, client: &ExecutorClient, error: &ExecutorError) {
    if state.update_view(client, |view| view.set_responsive(false)) == Some(true) {
        warn!(state.log, "target unresponsive"; "target" => %client.instance().target,
            "error" => %error);
        state.report_needed.notify_one();
    }
}

/// Reads the executor's lists once, and renews its lease if there was recent contact to the leader.
pub(crate) async fn poll_lists(
    state: &SideState,
    client: &ExecutorClient,
    wait: Option<Duration>,
) -> Result<(), ExecutorError> {
    let renew = state.may_renew_leases(state.clock.now());
    let now = state.clock.steady();
    let prepared = state.update_view(client, |view| {
        let lease = (renew && view.may_renew_lease(now))
            .then(|| view.grant_lease(state.lease_length(), now));
        let req = ListRequest {
            lease_end_ms: lease.map(|(end_ms, _)| end_ms),
            epoch: state.epoch(),
            acknowledged: view.acknowledged(),
            wait,
        };
        (req, lease.map(|(_, grant)| grant))
    });
    let (req, grant) = prepared.ok_or(ExecutorError::OtherInstance)?;
    let limit = wait.unwrap_or_default() + POLL_GRACE;
    let answer = client.fetch_lists(&req, limit).await;
    if let Some(grant) = grant {
        let may_be_received = !matches!(answer, Err(ExecutorError::NotSent(_)));
        state.update_view(client, |view| view.settle_lease(grant, may_be_received));
    }
    let lists = answer?;
    if lists.unreadable > 0 {
        warn!(state.log, "unreadable rows in the target's lists ignored";
            "rows" => lists.unreadable);
    }
    let now = state.clock.steady();
    let changed = state.update_view(client, |view| {
        let recovered = view.set_responsive(true);
        view.apply_lists(lists, now) || recovered
    });
    if changed == Some(true) {
        state.report_needed.notify_one();
    }
    Ok(())
}
