use std::sync::Arc;

use rattanwinch_fleet::REPORT_INTERVAL;
use rattanwinch_fleet::silence_limit;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobProgress;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SchedulingLimits;
use rattanwinch_scheduling::SchedulingRules;
use rattanwinch_types::Timestamp;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::committer::Committer;
use crate::coordinator::Coordinator;
use crate::coordinator::Inherited;
use crate::job_board::JobBoard;
use crate::job_board::PublishedJob;
use crate::leadership::announcing::announce;
use crate::leadership::elected::Elected;
use crate::leadership::renewing::renew;
use crate::leadership::watch_successors;
use crate::leading::Leading;
use crate::operator_watch::watch_operators;

/// Commands that may wait for the coordinator; callers beyond that wait for room.
const QUEUED_COMMANDS: usize = 1024;

/// A front that knows the jobs and is about to schedule.
pub(crate) struct Restored {
    pub elected: Elected,
    pub jobs: Vec<(Arc<AcceptedJob>, JobProgress)>,
    /// When the renewal of the lease that the store has confirmed was sent.
    pub confirmed_at: Option<Timestamp>,
    /// What the scheduler before has left.
    pub inherited: Inherited,
}

impl Restored {
    /// Schedules until leadership is lost or the daemon stops.
    pub(crate) async fn schedule(self) {
        let Elected {
            state,
            record,
            revision,
            lease,
            epoch,
        } = self.elected;
        let (commands, received) = mpsc::channel(QUEUED_COMMANDS);
        let now = state.clock.now();
        let scheduler = Scheduler::restore(
            SchedulingLimits::for_site(silence_limit(state.settings.vm.max_lease), REPORT_INTERVAL),
            SchedulingRules::default(),
            self.jobs,
            now,
        );
        let board = JobBoard::new(published(&scheduler));
        let leading = Arc::new(Leading::new(epoch, state.address, commands, board));
        // Agents that are told of this front report at once and have to find it confirmed.
        if let Some(sent_at) = self.confirmed_at {
            leading.confirm(sent_at);
        }
        let committer = Committer {
            store: state.store.clone(),
            lease,
            record,
            revision,
            log: state.log.clone(),
        };
        let coordinator = Coordinator::new(
            Arc::clone(&state),
            Arc::clone(&leading),
            scheduler,
            committer,
            self.inherited.clone(),
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(renew(Arc::clone(&state), Arc::clone(&leading), lease));
        tasks.spawn(watch_operators(Arc::clone(&state), Arc::clone(&leading)));
        tasks.spawn(watch_successors(Arc::clone(&state), Arc::clone(&leading)));
        tasks.spawn(coordinator.run(received));
        state.set_leader(None);
        state.set_leading(Some(Arc::clone(&leading)));
        tasks.spawn(announce(
            Arc::clone(&state),
            leading.info,
            self.inherited.agents,
        ));
        let mut changes = state.leader_changes();
        loop {
            tokio::select! {
            () = leading.lost.notified() => break,
            _ = changes.changed() => {
            if state.is_stopping() || state.highest_epoch() > epoch {
            break;
            }
            }
            }
        }
        state.set_leading(None);
        tasks.shutdown().await;
        info!(state.log, "no longer scheduling"; "epoch" => epoch);
        if state.is_stopping() {
            // The next front can take over at once instead of after the lease.
            if let Err(error) = state.store.end(lease).await {
                warn!(state.log, "lease not ended"; "error" => %error);
            }
        }
    }
}

fn published(scheduler: &Scheduler) -> Vec<(JobId, PublishedJob)> {
    let jobs = scheduler.job_states().filter_map(|(id, queue, state)| {
        let (accepted, _) = scheduler.job_record(id)?;
        let published = PublishedJob {
            queue: queue.clone(),
            organisation: accepted.organisation.clone(),
            state,
        };
        Some((id.clone(), published))
    });
    jobs.collect()
}
