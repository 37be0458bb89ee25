use std::time::Duration;

use rattanwinch_fleet::target_silence_timeout;
use rattanwinch_scheduling::Changes;
use rattanwinch_scheduling::JobId;
use rattanwinch_types::Timestamp;
use slog::debug;
use slog::info;

use crate::commands::Command;
use crate::committer::Writes;
use crate::coordinator::Coordinator;
use crate::published_jobs::PublishedJob;
use crate::records::ACCEPTED_PREFIX;
use crate::records::AGENTS_KEY;
use crate::records::SILENCES_KEY;
use crate::records::encode_accepted;
use crate::records::encode_agents;
use crate::records::encode_progress;
use crate::records::encode_silences;
use crate::records::progress_key;

/// Time that an ended job is kept beyond the period in which callers may query it, so that a late
/// resubmission still finds it.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

/// Maximum number of ended jobs that one commit removes.
const MAX_REMOVED_JOBS_PER_COMMIT: usize = 16;

/// Maximum number of keys left by a predecessor that one commit deletes.
const MAX_REMOVED_KEYS_PER_COMMIT: usize = 64;

/// An ended job that is removed from the store.
struct RemovedJob {
    id: JobId,
    /// The parts of its progress beyond the first.
    parts: Vec<u32>,
}

impl Coordinator {
    /// Starts a commit of all changes, unless one is in progress.
    pub(super) fn commit(&mut self, now: Timestamp) {
        let Some(mut committer) = self.committer.take() else {
            return;
        };
        let changes = self.scheduler.take_changes(now);
        let removed_jobs = self.remove_expired_jobs(now);
        if changes.is_empty()
            && removed_jobs.is_empty()
            && self.stale_keys.is_empty()
            && !self.upkeep.has_pending_writes()
        {
            self.committer = Some(committer);
            return;
        }
        if now.since(self.elected_at) > target_silence_timeout(self.state.settings.vm.max_lease) {
            self.agents.clear_inherited();
        }
        let mut writes = self.writes(&changes, &removed_jobs);
        if let Some(agents) = self.agents.take_changed_addresses() {
            let key = AGENTS_KEY.to_owned();
            writes.puts.push((key, encode_agents(&agents)));
        }
        if let Some(silences) = &changes.silent_instances {
            info!(self.state.log, "silences of targets recorded"; "targets" => silences.len());
            let key = SILENCES_KEY.to_owned();
            writes.puts.push((key, encode_silences(silences)));
        }
        writes.puts.extend(self.upkeep.take_writes());
        self.current_commit_replies = std::mem::take(&mut self.next_commit_replies);
        let commands = self.local_leader.commands.clone();
        let log = self.state.log.clone();
        tokio::spawn(async move {
            let committed = committer.commit(writes).await;
            let done = Command::Committed {
                changes,
                removed_jobs: removed_jobs.into_iter().map(|job| job.id).collect(),
                committer: committed.is_ok().then_some(committer),
            };
            if commands.send(done).await.is_err() {
                debug!(log, "commit result dropped: the coordinator has stopped");
            }
        });
    }

    fn writes(&mut self, changes: &Changes, removed_jobs: &[RemovedJob]) -> Writes {
        let mut writes = Writes::default();
        for id in &changes.jobs {
            let Some((accepted, parts)) = self.scheduler.take_job_record(id) else {
                continue;
            };
            if let Some(body) = self.bodies.remove(id) {
                let key = format!("{ACCEPTED_PREFIX}{id}");
                writes.puts.push((key, encode_accepted(&accepted, &body)));
            }
            for part in parts {
                let key = progress_key(id, part.number);
                writes.puts.push((key, encode_progress(&part.progress)));
            }
            if let Some(state) = self.scheduler.job_state(id) {
                let published = PublishedJob {
                    queue: accepted.queue.clone(),
                    organisation: accepted.organisation.clone(),
                    state,
                };
                self.pending_publication.insert(id.clone(), published);
            }
        }
        let stale = self
            .stale_keys
            .len()
            .saturating_sub(MAX_REMOVED_KEYS_PER_COMMIT);
        writes.deletes = self.stale_keys.split_off(stale);
        for job in removed_jobs {
            // Progress without a job is ignored, but a job without its progress would run again.
            writes.deletes.push(format!("{ACCEPTED_PREFIX}{}", job.id));
            writes.deletes.push(progress_key(&job.id, 0));
            let parts = job.parts.iter();
            let parts = parts.map(|&part| progress_key(&job.id, part));
            writes.deletes.extend(parts);
        }
        writes
    }

    fn remove_expired_jobs(&mut self, now: Timestamp) -> Vec<RemovedJob> {
        let retention = self.state.settings.ended_job_retention + RETENTION_MARGIN;
        let expired = self
            .ended
            .iter()
            .filter(|(_, ended_at)| now.since(**ended_at) > retention);
        let expired: Vec<_> = expired
            .map(|(id, _)| id.clone())
            .take(MAX_REMOVED_JOBS_PER_COMMIT)
            .collect();
        let removed_jobs: Vec<_> = expired
            .into_iter()
            .filter_map(|id| {
                let parts = self.scheduler.written_parts(&id).collect();
                let is_removed = self.scheduler.remove_finished_job(&id);
                is_removed.then_some(RemovedJob { id, parts })
            })
            .collect();
        for job in &removed_jobs {
            self.ended.remove(&job.id);
        }
        removed_jobs
    }
}
