use std::collections::BTreeMap;
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

use crate::coordinator::Inherited;
use crate::front_state::FrontState;
use crate::leadership::Result;
use crate::leadership::restored::Restored;
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

/// A front that is to schedule and doesn't know the jobs yet.
pub(crate) struct Elected {
    pub state: Arc<FrontState>,
    pub record: LeaderRecord,
    pub revision: Revision,
    pub lease: Lease,
    pub epoch: u64,
}

impl Elected {
    /// Reads all jobs. Nobody else can change them any more.
    pub(crate) async fn load(self) -> Result<Restored> {
        let store = &self.state.store;
        let sent_at = self.state.clock.now();
        // A long read must not outlast the lease.
        let (accepted, progress, waves, agents, silences, renewed) = tokio::join!(
            store.range(ACCEPTED_PREFIX),
            store.range(PROGRESS_PREFIX),
            store.range(WAVE_PREFIX),
            store.get(AGENTS_KEY),
            store.get(SILENCES_KEY),
            store.renew(self.lease),
        );
        // Without an answer the lease may or may not have been renewed; the renewals that follow
        // will tell.
        if matches!(renewed, Ok(false)) {
            return Err(StoreError::lease_ended());
        }
        let jobs = self.read_jobs(&accepted?, &progress?);
        info!(self.state.log, "jobs loaded"; "jobs" => jobs.len(), "epoch" => self.epoch);
        let waves = self.read_waves(&waves?);
        let agents = agents?.map(|item| decode_agents(&item.value)).transpose();
        let agents = agents.unwrap_or_else(|error| {
            error!(self.state.log, "agents not told of the new scheduler"; "error" => %error);
            None
        });
        let silences = silences?
            .map(|item| decode_silences(&item.value))
            .transpose();
        let silences = silences.unwrap_or_else(|error| {
            error!(self.state.log, "silences of targets counted anew"; "error" => %error);
            None
        });
        Ok(Restored {
            elected: self,
            jobs,
            confirmed_at: matches!(renewed, Ok(true)).then_some(sent_at),
            inherited: Inherited {
                agents: agents.unwrap_or_default(),
                silences: silences.unwrap_or_default(),
                waves,
            },
        })
    }

    fn read_waves(&self, items: &[Item]) -> BTreeMap<u32, WaveRecord> {
        let records = items.iter().filter_map(|item| {
            let read = decode_wave(&item.key, &item.value);
            if let Err(error) = &read {
                error!(self.state.log, "wave of upkeep begun anew"; "key" => &item.key,
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
        let progress: BTreeMap<&str, &Item> = progress
            .iter()
            .filter_map(|item| Some((item.key.strip_prefix(PROGRESS_PREFIX)?, item)))
            .collect();
        let mut jobs = Vec::new();
        for item in accepted {
            let Some(id) = item.key.strip_prefix(ACCEPTED_PREFIX) else {
                continue;
            };
            let reached = progress
                .get(id)
                .map(|item| decode_progress(id, &item.value));
            let reached = reached.transpose().map(Option::unwrap_or_default);
            match (decode_accepted(id, &item.value), reached) {
                (Ok(job), Ok(reached)) => jobs.push((Arc::new(job), reached)),
                (Err(error), _) | (_, Err(error)) => {
                    error!(self.state.log, "job left out"; "job" => id, "error" => %error);
                }
            }
        }
        jobs
    }
}
