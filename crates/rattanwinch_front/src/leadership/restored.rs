use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::REPORT_INTERVAL;
use rattanwinch_fleet::target_silence_timeout;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobProgress;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SchedulingLimits;
use rattanwinch_scheduling::SchedulingRules;
use rattanwinch_types::Timestamp;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::committer::Committer;
use crate::coordinator::Coordinator;
use crate::coordinator::InheritedState;
use crate::leadership::announcing::announce;
use crate::leadership::elected::Elected;
use crate::leadership::renewing::renew;
use crate::leadership::watch_successors;
use crate::local_leader::LocalLeader;
use crate::operator_watch::watch_operators;
use crate::published_jobs::PublishedJob;
use crate::published_jobs::PublishedJobs;

/// Interval at which a leader checks whether a front with a larger share of a core can take over.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Capacity of the command queue; senders wait while it is full.
const COMMAND_QUEUE_CAPACITY: usize = 1024;

/// A leader that has loaded the jobs and is about to schedule.
pub(crate) struct Restored {
    pub elected: Elected,
    pub jobs: Vec<(Arc<AcceptedJob>, JobProgress)>,
    /// When the last confirmed lease renewal was sent.
    pub confirmed_at: Option<Timestamp>,
    /// State that the previous leader left.
    pub inherited: InheritedState,
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
        let (commands, received) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let now = state.clock.now();
        let scheduler = Scheduler::restore(
            SchedulingLimits::for_site(
                target_silence_timeout(state.settings.vm.max_lease),
                REPORT_INTERVAL,
                state.settings.reclaim_time,
                state.settings.stop_time,
            ),
            SchedulingRules::default(),
            self.jobs,
            now,
        );
        let published_jobs = PublishedJobs::new(job_states(&scheduler));
        let local_leader = Arc::new(LocalLeader::new(
            epoch,
            state.address,
            commands,
            published_jobs,
        ));
        // Agents report as soon as they receive the announcement, and the leader has to be
        // confirmed by then.
        if let Some(sent_at) = self.confirmed_at {
            local_leader.confirm(sent_at);
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
            Arc::clone(&local_leader),
            scheduler,
            committer,
            self.inherited.clone(),
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(renew(Arc::clone(&state), Arc::clone(&local_leader), lease));
        tasks.spawn(watch_operators(
            Arc::clone(&state),
            Arc::clone(&local_leader),
        ));
        tasks.spawn(watch_successors(
            Arc::clone(&state),
            Arc::clone(&local_leader),
        ));
        tasks.spawn(coordinator.run(received));
        state.set_remote_leader(None);
        state.set_local_leader(Some(Arc::clone(&local_leader)));
        tasks.spawn(announce(
            Arc::clone(&state),
            local_leader.info,
            self.inherited.agents,
        ));
        let mut changes = state.leader_changes();
        let mut handover_check = tokio::time::interval(HANDOVER_CHECK_INTERVAL);
        let mut gives_up = false;
        loop {
            tokio::select! {
                () = local_leader.leadership_lost.notified() => break,
                Some(Err(failure)) = tasks.join_next() => {
                    metrics::counter!("rattanwinch_task_panics_total", "task" => "scheduling")
                        .increment(1);
                    error!(state.log, "task of the scheduler failed; leadership given up";
                        "epoch" => epoch, "error" => %failure);
                    gives_up = true;
                    break;
                }
                _ = handover_check.tick() => {
                    if state.has_larger_front(state.clock.now()) {
                        info!(state.log, "handing over to a front with more processor time";
                            "epoch" => epoch);
                        gives_up = true;
                        break;
                    }
                }
                _ = changes.changed() => {
                    if state.is_stopping() || state.highest_epoch() > epoch {
                        break;
                    }
                }
            }
        }
        state.set_local_leader(None);
        if !gives_up {
            // Replaced, most often because the store doesn't answer this front.
            state.record_store_failure(state.clock.now());
        }
        tasks.shutdown().await;
        info!(state.log, "no longer scheduling"; "epoch" => epoch);
        if state.is_stopping() || gives_up {
            // Lets the next front take over at once instead of after the lease expires.
            if let Err(error) = state.store.revoke(lease).await {
                warn!(state.log, "lease not revoked; it expires on its own"; "error" => %error);
            }
        }
    }
}

fn job_states(scheduler: &Scheduler) -> Vec<(JobId, PublishedJob)> {
    let jobs = scheduler.job_states().filter_map(|(id, queue, state)| {
        let published = PublishedJob {
            queue: queue.clone(),
            organisation: scheduler.job_organisation(id)?.clone(),
            state,
        };
        Some((id.clone(), published))
    });
    jobs.collect()
}
