use std::sync::Arc;
use std::time::Duration;

use rattanwinch_decisions::Placement;
use rattanwinch_decisions::TaskPlacement;
use rattanwinch_peers::GangRpcClient as _;
use rattanwinch_platform::Store;
use rattanwinch_platform::keys;
use rattanwinch_types::Incarnation;
use rattanwinch_types::JobRecord;
use rattanwinch_types::MemberReport;
use rattanwinch_types::RecordedState;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use slog::warn;

use super::actions::call_agent;
use super::decider::ZoneDecider;
use super::message::Response;
use crate::target::Target;

/// Records read in one call.
const PAGE: u32 = 200;

/// The pause after a failed read of the records.
const READ_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// How long an agent may take to answer an adoption.
const ADOPT_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Store> ZoneDecider<S> {
    /// Asks all known agents of the zone for their members, in parallel.
    pub(super) fn adopt_known_agents(&self) {
        let targets = self.state.fleet.targets_of(&self.zone);
        for target in targets.iter().flat_map(|targets| targets.iter()) {
            self.adopt(&target.name, target.incarnation);
        }
    }

    /// Asks an agent to accept the epoch and to report its members.
    pub(super) fn adopt(&self, target: &TargetName, incarnation: Incarnation) {
        let (epoch, name) = (self.epoch.0, target.clone());
        let agent = self.state.fleet.target(target);
        let agent = agent.filter(|agent| agent.incarnation == incarnation);
        self.respond(
            async move { Response::Adopted(name, incarnation, adopt(agent, epoch).await) },
        );
    }

    /// Takes in the response to an adoption.
    pub(super) fn adopted(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
        reports: Option<Vec<MemberReport>>,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get(target, incarnation) else {
            return;
        };
        let Some(reports) = reports else {
            return;
        };
        worker.adopted = true;
        let (info, leaving) = (worker.info.clone(), worker.leaving);
        let orders = self.gangs.handle_heartbeat(target, &reports, now);
        for order in orders.stop {
            self.abort(target, order.member);
        }
        self.policy.worker_ready(info, now);
        if leaving {
            self.policy.worker_leaving(target, now);
        }
    }

    /// Reads all records of the zone's unfinished jobs.
    pub(super) async fn read_records(&mut self) {
        let prefix = keys::jobs_prefix(&self.zone);
        let mut after = None;
        loop {
            let page = self
                .state
                .store
                .read_page(&prefix, after.as_ref(), PAGE)
                .await;
            let page = match page {
                Ok(page) => page,
                Err(error) => {
                    warn!(self.state.logger, "jobs weren't read"; "zone" => %self.zone,
                        "error" => %error);
                    tokio::time::sleep(READ_AGAIN_AFTER).await;
                    continue;
                }
            };
            after = page.items.last().map(|item| Arc::clone(&item.key));
            for item in &page.items {
                if let Some((record, revision)) = self.state.read_stored(item) {
                    self.take_record(*record, revision);
                }
            }
            if !page.more {
                return;
            }
        }
    }

    /// Takes in a record that isn't known yet.
    pub(super) fn take_record(&mut self, record: JobRecord, revision: Revision) {
        let now = self.state.clock.now();
        let spec = record.spec.clone();
        let state = record.state.clone();
        let finished = matches!(state, RecordedState::Finished { .. });
        if finished || !self.gangs.restore(record, revision, now) {
            return;
        }
        match state {
            RecordedState::Queued => self.enqueue(spec, now),
            RecordedState::Committed { since, tasks, .. } => {
                let tasks = tasks.into_iter().map(|task| TaskPlacement {
                    target: task.target,
                    accelerators: task.accelerators,
                });
                let placement = Placement {
                    tasks: tasks.collect(),
                };
                self.policy.restore_running(spec, placement, since);
            }
            RecordedState::Finished { .. } => {}
        }
    }
}

async fn adopt(agent: Option<Arc<Target>>, epoch: i64) -> Option<Vec<MemberReport>> {
    let call = call_agent(agent, ADOPT_TIMEOUT, async |client| {
        client.adopt(epoch).await
    });
    let reports = call.await.ok()?;
    let reports = reports.into_iter().map(MemberReport::try_from);
    reports.collect::<Result<_, _>>().ok()
}
