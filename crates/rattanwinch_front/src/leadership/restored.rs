use std::sync::Arc;
use std::time::Duration;

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
use crate::front_state::FrontState;
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
            scheduling_limits(&state),
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
    let jobs = scheduler.states().filter_map(|(id, queue, state)| {
        let (accepted, _) = scheduler.record(id)?;
        let published = PublishedJob {
            queue: queue.clone(),
            organisation: accepted.organisation.clone(),
            state,
        };
        Some((id.clone(), published))
    });
    jobs.collect()
}

fn scheduling_limits(state: &FrontState) -> SchedulingLimits {
    SchedulingLimits::builder()
        .silence(silence_limit(state.settings.vm.longest_lease))
        // A quarter of the wait for leases; each step is a write, which costs a tenth of a start.
        .silence_step(Duration::from_secs(4))
        // Two reports and a half.
        .fresh(REPORT_INTERVAL * 5 / 2)
        // Many times the way of an order and its answer, which is a few milliseconds.
        .order_retry(Duration::from_millis(300))
        // The longest stop on the users' sheets takes 900 ms.
        .stop_repeat(Duration::from_millis(1500))
        // A third of the shortest reclaim time on the users' sheets, with the stop after it.
        .urgent_patience(Duration::from_millis(800))
        // Tasks save their state every 0.5 or 2 s, and a write costs a tenth of a start.
        .save_interval(Duration::from_secs(2))
        // Progress is reported in whole per cent each second; one per cent of the longest task
        // on the slowest target of the users' sheets takes 2 s.
        .stall(Duration::from_millis(3000))
        // Targets that fail all they start do so for 6.5 s on the users' sheets; one that goes on
        // is tried again less and less often.
        .quarantine(Duration::from_secs(5))
        .quarantine_most(Duration::from_secs(40))
        .build()
}
