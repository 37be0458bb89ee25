use std::time::Duration;

use rattanwinch_fleet::silence_limit;
use rattanwinch_scheduling::Changes;
use rattanwinch_scheduling::JobId;
use rattanwinch_types::Timestamp;
use slog::debug;
use slog::info;

use crate::commands::Command;
use crate::committer::Writes;
use crate::coordinator::Coordinator;
use crate::job_board::PublishedJob;
use crate::records::ACCEPTED_PREFIX;
use crate::records::AGENTS_KEY;
use crate::records::PROGRESS_PREFIX;
use crate::records::SILENCES_KEY;
use crate::records::encode_accepted;
use crate::records::encode_agents;
use crate::records::encode_progress;
use crate::records::encode_silences;

/// The state of an ended job is kept this much longer than callers may ask for it, so that a
/// late repetition of its submission still finds it.
const KEEP_MARGIN: Duration = Duration::from_secs(60);

/// Jobs that are forgotten in one commit.
const FORGET_AT_ONCE: usize = 16;

impl Coordinator {
    /// Makes what has changed durable, unless a commit is on its way.
    pub(super) fn commit(&mut self, now: Timestamp) {
        let Some(mut committer) = self.committer.take() else {
            return;
        };
        let changes = self.scheduler.take_changes(now);
        let forgotten = self.forget_old(now);
        if changes.is_empty() && forgotten.is_empty() && !self.upkeep.has_writes() {
            self.committer = Some(committer);
            return;
        }
        if now.since(self.began_at) > silence_limit(self.state.settings.vm.max_lease) {
            self.agents.forget_inherited();
        }
        let mut writes = self.writes(&changes, &forgotten);
        if let Some(agents) = self.agents.take_changed_addresses() {
            let key = AGENTS_KEY.to_owned();
            writes.puts.push((key, encode_agents(&agents)));
        }
        if let Some(silences) = &changes.silent_instances {
            info!(self.state.log, "silences noted"; "targets" => silences.len());
            let key = SILENCES_KEY.to_owned();
            writes.puts.push((key, encode_silences(silences)));
        }
        writes.puts.extend(self.upkeep.take_writes());
        self.committing = std::mem::take(&mut self.waiting);
        let commands = self.leading.commands.clone();
        let log = self.state.log.clone();
        tokio::spawn(async move {
            let committed = committer.commit(writes).await;
            let done = Command::Committed {
                changes,
                forgotten,
                committer: committed.is_ok().then_some(committer),
            };
            if commands.send(done).await.is_err() {
                debug!(log, "commit ended after the scheduler");
            }
        });
    }

    fn writes(&mut self, changes: &Changes, forgotten: &[JobId]) -> Writes {
        let mut writes = Writes::default();
        for id in &changes.jobs {
            let Some((accepted, progress)) = self.scheduler.job_record(id) else {
                continue;
            };
            if let Some(body) = self.bodies.remove(id) {
                let key = format!("{ACCEPTED_PREFIX}{id}");
                writes.puts.push((key, encode_accepted(&accepted, &body)));
            }
            let key = format!("{PROGRESS_PREFIX}{id}");
            writes.puts.push((key, encode_progress(&progress)));
            if let Some(state) = self.scheduler.job_state(id) {
                let published = PublishedJob {
                    queue: accepted.queue.clone(),
                    organisation: accepted.organisation.clone(),
                    state,
                };
                self.unpublished.insert(id.clone(), published);
            }
        }
        for id in forgotten {
            writes.deletes.push(format!("{ACCEPTED_PREFIX}{id}"));
            writes.deletes.push(format!("{PROGRESS_PREFIX}{id}"));
        }
        writes
    }

    fn forget_old(&mut self, now: Timestamp) -> Vec<JobId> {
        let keep = self.state.settings.ended_job_retention + KEEP_MARGIN;
        let old = self
            .ended
            .iter()
            .filter(|(_, ended_at)| now.since(**ended_at) > keep);
        let old: Vec<_> = old.map(|(id, _)| id.clone()).take(FORGET_AT_ONCE).collect();
        let forgotten: Vec<_> = old
            .into_iter()
            .filter(|id| self.scheduler.remove_finished_job(id))
            .collect();
        for id in &forgotten {
            self.ended.remove(id);
        }
        forgotten
    }
}
