use std::sync::Arc;
use std::time::Duration;

use rattanwinch_site_executors::ExecutorClient;
use rattanwinch_site_executors::ExecutorError;
use rattanwinch_site_executors::HoldRequest;
use slog::warn;

use crate::side_state::SideState;

/// How long a look at the executor waits for an end. Leases last several times as long, and each
/// look costs processor time on the VM.
const LOOK_WAIT: Duration = Duration::from_millis(1500);

/// How long a look may take beyond its wait before the executor counts as unresponsive.
const LOOK_GRACE: Duration = Duration::from_millis(700);

/// The pause after a look that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Looks at the executor for as long as the daemon runs, renewing its leases.
pub(crate) async fn watch_executor(state: Arc<SideState>) {
    let mut lives = state.lives();
    loop {
        lives.mark_unchanged();
        let Some(client) = state.client() else {
            if lives.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            () = watch_life(&state, &client) => {}
            changed = lives.changed() => if changed.is_err() { return },
        }
    }
}

/// Looks at one life of the executor until another one answers.
async fn watch_life(state: &SideState, client: &ExecutorClient) {
    // The first look doesn't wait, so that the scheduler learns at once what runs.
    let mut wait = None;
    loop {
        match look(state, client, wait).await {
            Ok(()) => wait = Some(LOOK_WAIT),
            Err(ExecutorError::OtherLife) => {
                return state.forget_target(client, "another life answers");
            }
            Err(error) => {
                note_unresponsive(state, client, &error);
                wait = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn note_unresponsive(state: &SideState, client: &ExecutorClient, error: &ExecutorError) {
    if state.with_view(client, |view| view.set_responsive(false)) == Some(true) {
        warn!(state.log, "target unresponsive"; "target" => %client.life().target,
            "error" => %error);
        state.changed.notify_one();
    }
}

/// Reads the lists once and renews the lease if a scheduler has been in touch.
pub(crate) async fn look(
    state: &SideState,
    client: &ExecutorClient,
    wait: Option<Duration>,
) -> Result<(), ExecutorError> {
    let now = state.clock.now();
    let renew = state.may_renew(now);
    let lease = state.settings.vm.max_lease;
    let until_ms = state.with_view(client, |view| view.lease_end(lease, now));
    let req = HoldRequest {
        until_ms: until_ms.filter(|_| renew),
        epoch: state.epoch(),
        acknowledged: state.acknowledged(),
        wait,
    };
    let limit = wait.unwrap_or_default() + LOOK_GRACE;
    let lists = client.hold(&req, limit).await?;
    if lists.unreadable > 0 {
        warn!(state.log, "unreadable rows in the target's lists"; "rows" => lists.unreadable);
    }
    let now = state.clock.now();
    let changed = state.with_view(client, |view| {
        let back = view.set_responsive(true);
        view.lists(lists, now) || back
    });
    if changed == Some(true) {
        state.changed.notify_one();
    }
    Ok(())
}
