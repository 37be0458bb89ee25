use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use rattanwinch_fleet::LeaderRecord;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::JobProgress;
use rattanwinch_site_store::Item;
use rattanwinch_site_store::Lease;
use rattanwinch_site_store::Revision;
use rattanwinch_site_store::StoreError;
use slog::error;
use slog::info;

use crate::coordinator::InheritedState;
use crate::front_state::FrontState;
use crate::leadership::Result;
use crate::leadership::restored::Restored;
use crate::records;
use crate::records::ACCEPTED_PREFIX;
use crate::records::AGENTS_KEY;
use crate::records::PROGRESS_PREFIX;
use crate::records::SILENCES_KEY;
use crate::records::WAVE_PREFIX;
use crate::records::WaveRecord;
use crate::records::decode_accepted;
use crate::records::decode_agents;
use crate::records::decode_progress;
use crate::records::decode_silences;
use crate::records::decode_wave;
use crate::records::job_of_progress_key;

/// An elected leader that hasn't loaded the jobs yet.
pub(crate) struct Elected {
    pub state: Arc<FrontState>,
    pub record: LeaderRecord,
    pub revision: Revision,
    pub lease: Lease,
    pub epoch: u64,
}

impl Elected {
    /// Loads all jobs. No other front can change them any more.
    pub(crate) async fn load(self) -> Result<Restored> {
        let store = &self.state.store;
        let sent_at = self.state.clock.now();
        // The lease is renewed in parallel, as a long read must not outlast it.
        let (accepted, progress, waves, agents, silences, renewed) = tokio::join!(
            store.range(ACCEPTED_PREFIX),
            store.range(PROGRESS_PREFIX),
            store.range(WAVE_PREFIX),
            store.get(AGENTS_KEY),
            store.get(SILENCES_KEY),
            store.renew(self.lease),
        );
        // An unanswered renewal may have been applied; the next renewals show whether the lease
        // still exists.
        if matches!(renewed, Ok(false)) {
            return Err(StoreError::lease_ended());
        }
        let (accepted, progress) = (accepted?, progress?);
        let jobs = self.read_jobs(&accepted, &progress);
        let stale_keys = Self::stale_keys(&accepted, &progress);
        info!(self.state.log, "jobs loaded"; "jobs" => jobs.len(), "epoch" => self.epoch);
        let waves = self.read_waves(&waves?);
        let agents = agents?.map(|item| decode_agents(&item.value)).transpose();
        let agents = agents.unwrap_or_else(|error| {
            error!(self.state.log, "unreadable agent addresses; agents not notified";
                "error" => %error);
            None
        });
        let silences = silences?
            .map(|item| decode_silences(&item.value))
            .transpose();
        let silences = silences.unwrap_or_else(|error| {
            error!(self.state.log, "unreadable silences of targets; counted from zero";
                "error" => %error);
            None
        });
        Ok(Restored {
            elected: self,
            jobs,
            confirmed_at: matches!(renewed, Ok(true)).then_some(sent_at),
            inherited: InheritedState {
                agents: agents.unwrap_or_default(),
                silences: silences.unwrap_or_default(),
                waves,
                stale_keys,
            },
        })
    }

    /// Returns the keys of progress without a job: a leader was replaced while it removed the job.
    fn stale_keys(accepted: &[Item], progress: &[Item]) -> Vec<String> {
        let ids = accepted.iter();
        let ids = ids.filter_map(|item| item.key.strip_prefix(ACCEPTED_PREFIX));
        let ids: BTreeSet<&str> = ids.collect();
        let keys = progress.iter().map(|item| &item.key);
        let stale = keys.filter(|key| job_of_progress_key(key).is_some_and(|id| !ids.contains(id)));
        stale.cloned().collect()
    }

    fn read_waves(&self, items: &[Item]) -> BTreeMap<u32, WaveRecord> {
        let records = items.iter().filter_map(|item| {
            let read = decode_wave(&item.key, &item.value);
            if let Err(error) = &read {
                error!(self.state.log, "unreadable record of an upkeep wave; the wave is restarted";
                    "key" => &item.key,
                    "error" => %error);
            }
            read.ok()
        });
        records.collect()
    }

    fn read_jobs(
        &self,
        accepted: &[Item],
        progress: &[Item],
    ) -> Vec<(Arc<AcceptedJob>, JobProgress)> {
        let mut parts: BTreeMap<&str, Vec<&Item>> = BTreeMap::new();
        for item in progress {
            if let Some(id) = job_of_progress_key(&item.key) {
                parts.entry(id).or_default().push(item);
            }
        }
        let mut jobs = Vec::new();
        for item in accepted {
            let Some(id) = item.key.strip_prefix(ACCEPTED_PREFIX) else {
                continue;
            };
            let parts = parts.remove(id).unwrap_or_default();
            let job_progress = decode_parts(id, &parts);
            match (decode_accepted(id, &item.value), job_progress) {
                (Ok(job), Ok(job_progress)) => jobs.push((Arc::new(job), job_progress)),
                (Err(error), _) | (_, Err(error)) => {
                    error!(self.state.log, "unreadable job record; the job is not scheduled";
                        "job" => id, "error" => %error);
                }
            }
        }
        jobs
    }
}

/// Decodes the progress of a job from its parts, in the order of their keys: the first part comes
/// first.
fn decode_parts(id: &str, parts: &[&Item]) -> records::Result<JobProgress> {
    let mut progress = JobProgress::default();
    for item in parts {
        let part = decode_progress(id, &item.value)?;
        if item.key.len() == PROGRESS_PREFIX.len() + id.len() {
            let tasks = std::mem::take(&mut progress.tasks);
            progress = part;
            progress.tasks.extend(tasks);
        } else {
            progress.tasks.extend(part.tasks);
        }
    }
    Ok(progress)
}
