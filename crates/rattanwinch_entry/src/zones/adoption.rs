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

/// The maximum number of records that one call reads.
const RECORDS_PER_PAGE: u32 = 200;

/// The delay before a failed read of the records is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The time that an agent may take to answer an adoption request.
const ADOPTION_TIMEOUT: Duration = Duration::from_millis(500);

impl<S: Store> ZoneDecider<S> {
    /// Sends adoption requests to all known agents of the zone, in parallel.
    pub(super) fn adopt_known_agents(&self) {
        let targets = self.state.fleet.targets_in_zone(&self.zone);
        for target in targets.iter().flat_map(|targets| targets.iter()) {
            self.request_adoption(&target.name, target.incarnation);
        }
    }

    /// Requests that an agent accepts the epoch and reports its members.
    pub(super) fn request_adoption(&self, target: &TargetName, incarnation: Incarnation) {
        let (epoch, name) = (self.epoch.0, target.clone());
        let agent = self.state.fleet.target(target);
        let agent = agent.filter(|agent| agent.incarnation == incarnation);
        self.spawn_call(async move {
            Response::Adopted(name, incarnation, call_adopt(agent, epoch).await)
        });
    }

    /// Handles the response to an adoption request.
    pub(super) fn handle_adoption(
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

    /// Reads the records of all unfinished jobs of the zone.
    pub(super) async fn read_records(&mut self) {
        let prefix = keys::jobs_prefix(&self.zone);
        let mut after = None;
        loop {
            let page = self
                .state
                .store
                .read_page(&prefix, after.as_ref(), RECORDS_PER_PAGE)
                .await;
            let page = match page {
                Ok(page) => page,
                Err(error) => {
                    warn!(self.state.logger, "failed to read the zone's job records from the \
                        store; retrying"; "zone" => %self.zone,
                        "error" => %error);
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                    continue;
                }
            };
            after = page.items.last().map(|item| Arc::clone(&item.key));
            for item in &page.items {
                if let Some((record, revision)) = self.state.decode_stored_job(item) {
                    self.restore_record(*record, revision);
                }
            }
            if !page.more {
                return;
            }
        }
    }

    /// Restores a job from its record, unless the job is known or finished.
    pub(super) fn restore_record(&mut self, record: JobRecord, revision: Revision) {
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

async fn call_adopt(agent: Option<Arc<Target>>, epoch: i64) -> Option<Vec<MemberReport>> {
    let call = call_agent(agent, ADOPTION_TIMEOUT, async |client| {
        client.adopt(epoch).await
    });
    let reports = call.await.ok()?;
    let reports = reports.into_iter().map(MemberReport::try_from);
    reports.collect::<Result<_, _>>().ok()
}
