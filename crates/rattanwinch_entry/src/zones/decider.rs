use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use metrics::counter;
use rattanwinch_decisions::Decision;
use rattanwinch_decisions::GangCoordinator;
use rattanwinch_decisions::GangLimits;
use rattanwinch_decisions::HeartbeatOrders;
use rattanwinch_decisions::ZonePolicy;
use rattanwinch_platform::Store;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Explanation;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::JobStatus;
use rattanwinch_types::PlacedTask;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;
use slog::error;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::message::Response;
use super::message::ZoneMessage;
use super::workers::Workers;
use super::zone_table::ZoneHandle;
use crate::entry_state::EntryState;

/// The capacity of the message queue: the heartbeats that a zone of the size planned for two years
/// from now sends in a second.
const MESSAGE_QUEUE_CAPACITY: usize = 4096;

/// The maximum number of messages handled before the next decision.
const MAX_MESSAGES_PER_BATCH: usize = 256;

/// The interval at which timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How long finished jobs are kept in memory; the store keeps them for a day.
const FINISHED_JOB_RETENTION: Duration = Duration::from_secs(600);

/// How long a cancellation waits for its job to end.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller that waits for the end of a job.
struct Waiter {
    key: RequestKey,
    until: Timestamp,
    reply: oneshot::Sender<Option<JobStatus>>,
}

/// The task that schedules one availability zone and owns all of its state.
pub(super) struct ZoneDecider<S> {
    pub(super) state: Arc<EntryState<S>>,
    pub(super) zone: ZoneName,
    pub(super) epoch: Epoch,
    pub(super) messages: mpsc::Sender<ZoneMessage>,
    pub(super) gangs: GangCoordinator,
    pub(super) policy: ZonePolicy,
    pub(super) workers: Workers,
    /// Jobs that are being moved to another zone.
    pub(super) moving: BTreeSet<RequestKey>,
    /// Whether another entry has taken the zone over.
    pub(super) deposed: bool,
    waiters: Vec<Waiter>,
    /// The number of policy violations that are already counted in the metric.
    counted_policy_violations: u64,
    config_revision: Option<Revision>,
    last_tick_at: Timestamp,
    /// When the task started. It has received no heartbeats from before.
    pub(super) started_at: Timestamp,
    handle: ZoneHandle,
}

/// Creates the task that decides `zone` at `epoch`, and its handle.
pub(super) fn start<S: Store>(
    state: &Arc<EntryState<S>>,
    zone: &ZoneName,
    epoch: Epoch,
) -> (ZoneHandle, impl Future<Output = ()> + Send + 'static) {
    let (tx, rx) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
    let summary = ZoneSummary {
        zone: zone.clone(),
        epoch,
        free_blocks: [0; 4],
        accelerators: 0,
        waiting: 0,
        guarantees: Vec::new(),
    };
    let handle = ZoneHandle {
        epoch,
        messages: tx.clone(),
        ready: Arc::new(AtomicBool::new(false)),
        summary: Arc::new(ArcSwap::from_pointee(summary)),
    };
    let limits = GangLimits::default();
    let decider = ZoneDecider {
        state: Arc::clone(state),
        zone: zone.clone(),
        epoch,
        messages: tx,
        gangs: GangCoordinator::new(zone.clone(), epoch, limits, rand::random()),
        policy: ZonePolicy::new(zone.clone()),
        workers: Workers::default(),
        moving: BTreeSet::new(),
        deposed: false,
        waiters: Vec::new(),
        counted_policy_violations: 0,
        config_revision: None,
        last_tick_at: Timestamp::ZERO,
        started_at: state.clock.now(),
        handle: handle.clone(),
    };
    (handle, decider.run(rx))
}

impl<S: Store> ZoneDecider<S> {
    async fn run(mut self, mut rx: mpsc::Receiver<ZoneMessage>) {
        self.adopt_known_agents();
        self.apply_config(self.state.clock.now());
        self.read_records().await;
        self.handle.ready.store(true, Ordering::Release);
        while !self.deposed {
            let message = tokio::time::timeout(TICK_INTERVAL, rx.recv()).await;
            let now = self.state.clock.now();
            if let Ok(Some(message)) = message {
                self.handle_message(message, now);
                for _ in 1..MAX_MESSAGES_PER_BATCH {
                    match rx.try_recv() {
                        Ok(message) => self.handle_message(message, now),
                        Err(_) => break,
                    }
                }
            }
            self.run_due_work(now);
        }
        info!(self.state.logger, "stopped deciding the zone: another entry has taken it over";
            "zone" => %self.zone);
    }

    fn handle_message(&mut self, message: ZoneMessage, now: Timestamp) {
        match message {
            ZoneMessage::Heartbeat(heartbeat, reply) => {
                let orders = self.handle_heartbeat(&heartbeat, now);
                // A missing receiver means that the heartbeat has timed out; the next one follows
                // soon.
                let _ = reply.send(orders);
            }
            ZoneMessage::Submit(record, revision, reply) => {
                let key = record.spec.key.clone();
                self.restore_record(*record, revision);
                if let Some(status) = self.status(&key) {
                    let _ = reply.send(status);
                }
            }
            ZoneMessage::Status(key, until, reply) => self.reply_when_finished(key, until, reply),
            ZoneMessage::Cancel(key, reply) => {
                if !self.moving.contains(&key) {
                    self.gangs.cancel(&key, now);
                    self.reply_when_finished(key, now + CANCEL_TIMEOUT, reply);
                }
            }
            ZoneMessage::Explain(key, reply) => {
                let _ = reply.send(self.explanations(&key, now));
            }
            ZoneMessage::Response(response) => self.handle_response(response, now),
        }
    }

    fn handle_response(&mut self, response: Response, now: Timestamp) {
        match response {
            Response::Adopted(target, incarnation, reports) => {
                self.handle_adoption(&target, incarnation, reports, now);
            }
            Response::Held(target, member, held) => {
                let unanswered = held.as_ref().is_err_and(|error| {
                    !error.is_not_run() && error.kind == ErrorKind::Unavailable
                });
                if unanswered {
                    self.mark_worker_unresponsive(&target, now);
                }
                self.gangs.handle_hold_response(&member, held, now);
            }
            Response::Released(member, response) => {
                self.gangs.handle_release_response(&member, response, now);
            }
            Response::Aborted(member) => self.gangs.handle_abort_response(&member, now),
            Response::Collected(member, output) => self.gangs.handle_output(&member, output, now),
            Response::Written(key, outcome) => self.gangs.handle_write_outcome(&key, outcome, now),
            Response::Read(key, found) => self.gangs.handle_record_read(&key, found, now),
            Response::Moved(key, zone, moved) => self.handle_move(&key, &zone, moved, now),
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> HeartbeatOrders {
        // An agent learns a higher epoch only from a decider that has taken the zone over.
        self.deposed |= heartbeat.epoch > self.epoch;
        if self.workers.record_heartbeat(heartbeat, now) {
            self.policy.worker_unknown(&heartbeat.target, now);
            self.request_adoption(&heartbeat.target, heartbeat.incarnation);
        }
        let Some(worker) = self.workers.get(&heartbeat.target, heartbeat.incarnation) else {
            return HeartbeatOrders::default();
        };
        if !worker.adopted {
            return HeartbeatOrders::default();
        }
        if std::mem::take(&mut worker.silent) {
            self.policy.worker_ready(worker.info.clone(), now);
        }
        if worker.leaving {
            self.policy.worker_leaving(&heartbeat.target, now);
        }
        self.gangs
            .handle_heartbeat(&heartbeat.target, &heartbeat.members, now)
    }

    /// Runs due timers and executes pending actions and new decisions.
    fn run_due_work(&mut self, now: Timestamp) {
        if now.since(self.last_tick_at) >= TICK_INTERVAL {
            self.last_tick_at = now;
            self.apply_config(now);
            self.check_silent_workers(now);
            self.gangs.tick(now);
            self.reply_to_expired_waiters(now);
            self.gangs.drop_finished(FINISHED_JOB_RETENTION, now);
            self.move_queued_jobs(now);
            self.check_invariants();
            self.publish_summary();
        }
        self.execute_actions(now);
        if self.state.control.load().is_fresh(now) {
            self.decide(now);
            self.execute_actions(now);
        }
    }

    fn decide(&mut self, now: Timestamp) {
        for decision in self.policy.decide(now) {
            match decision {
                Decision::Start {
                    key,
                    placement,
                    reason,
                } => {
                    let tasks = placement.tasks.into_iter().map(|task| PlacedTask {
                        target: task.target,
                        accelerators: task.accelerators,
                    });
                    if !self
                        .gangs
                        .start_attempt(&key, tasks.collect(), &reason, now)
                    {
                        self.policy.job_start_failed(&key, &[], now);
                    }
                }
                Decision::Evict { key, mode, reason } => {
                    self.gangs.evict(&key, mode, &reason, now);
                }
                Decision::Refuse { key, error } => self.gangs.refuse(&key, error, now),
            }
        }
    }

    fn apply_config(&mut self, now: Timestamp) {
        let control = self.state.control.load();
        if self.config_revision == Some(control.revision) {
            return;
        }
        self.config_revision = Some(control.revision);
        self.policy.set_config(&control.config, now);
        self.gangs
            .set_limits(GangLimits::from(&control.config.defaults));
    }

    /// Stops placement on a worker that did not answer a hold, until its next heartbeat. If
    /// placement waited for 3 s without heartbeats, the next attempts would be sent there too, and
    /// urgent jobs have to start within 2.8 s.
    fn mark_worker_unresponsive(&mut self, target: &TargetName, now: Timestamp) {
        if let Some(worker) = self.workers.0.get_mut(target) {
            worker.silent = true;
            self.policy.worker_unknown(target, now);
        }
    }

    fn check_silent_workers(&mut self, now: Timestamp) {
        let local_fault_suspected = self.workers.suspects_local_fault(now);
        self.gangs
            .set_loss_detection_suspended(local_fault_suspected);
        let silent = self.workers.silent(now);
        let silent: Vec<_> = silent.map(|worker| worker.info.target.clone()).collect();
        for target in silent {
            if local_fault_suspected {
                self.policy.worker_unknown(&target, now);
            } else {
                self.policy.worker_lost(&target, now);
            }
            if let Some(worker) = self.workers.0.get_mut(&target) {
                worker.silent = true;
            }
        }
    }

    fn check_invariants(&mut self) {
        if let Err(violation) = self.gangs.check_invariants() {
            self.count_violation(violation.rule, &violation.job);
        }
        let violations = self.policy.violation_count();
        if violations > self.counted_policy_violations {
            counter!("invariant_violations_total", "rule" => "placement")
                .increment(violations - self.counted_policy_violations);
            self.counted_policy_violations = violations;
            error!(self.state.logger, "invariant violated"; "zone" => %self.zone,
                "rule" => "placement");
        }
    }

    /// Counts and logs a violated invariant; panics in debug builds.
    pub(super) fn count_violation(&self, rule: &'static str, job: &RequestKey) {
        counter!("invariant_violations_total", "rule" => rule).increment(1);
        error!(self.state.logger, "invariant violated"; "zone" => %self.zone, "rule" => rule,
            "job" => %job);
        debug_assert!(false, "job {job} violates the invariant {rule}");
    }

    fn publish_summary(&self) {
        let capacity = self.policy.capacity();
        let summary = ZoneSummary {
            zone: self.zone.clone(),
            epoch: self.epoch,
            free_blocks: capacity.free_blocks,
            accelerators: capacity.accelerators,
            waiting: capacity.waiting,
            guarantees: capacity.guarantees,
        };
        if **self.handle.summary.load() != summary {
            self.handle.summary.store(Arc::new(summary));
        }
    }

    pub(super) fn status(&self, key: &RequestKey) -> Option<JobStatus> {
        self.gangs.status(key, self.policy.wait_reason(key))
    }

    /// The decisions about a job and, if it waits, the current reason.
    fn explanations(&self, key: &RequestKey, now: Timestamp) -> Option<Vec<Explanation>> {
        let mut explanations = self.gangs.explanations(key)?;
        if let Some(text) = self.policy.wait_reason(key) {
            explanations.push(Explanation { at: now, text });
        }
        Some(explanations)
    }

    fn reply_when_finished(
        &mut self,
        key: RequestKey,
        until: Timestamp,
        reply: oneshot::Sender<Option<JobStatus>>,
    ) {
        let status = self.status(&key);
        let ended = status.as_ref().is_none_or(JobStatus::is_finished);
        if ended || self.state.clock.now() >= until {
            let _ = reply.send(status);
        } else {
            self.waiters.push(Waiter { key, until, reply });
        }
    }

    pub(super) fn reply_to_waiters(&mut self, key: &RequestKey) {
        let status = self.status(key);
        let done = self.waiters.extract_if(.., |waiter| waiter.key == *key);
        for waiter in done {
            let _ = waiter.reply.send(status.clone());
        }
    }

    fn reply_to_expired_waiters(&mut self, now: Timestamp) {
        let expired = |waiter: &mut Waiter| now >= waiter.until || waiter.reply.is_closed();
        let expired: Vec<Waiter> = self.waiters.extract_if(.., expired).collect();
        for waiter in expired {
            let status = self.status(&waiter.key);
            let _ = waiter.reply.send(status);
        }
    }
}
