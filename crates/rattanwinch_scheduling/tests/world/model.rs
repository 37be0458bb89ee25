mod checks;
mod faults;
mod work;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::Changes;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobProgress;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::QueueName;
use rattanwinch_scheduling::QueueRules;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SchedulingLimits;
use rattanwinch_scheduling::SchedulingRules;
use rattanwinch_scheduling::ServiceName;
use rattanwinch_scheduling::SilentInstances;
use rattanwinch_scheduling::StartRefusal;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_scheduling::TargetOrders;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_scheduling::TaskId;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

use crate::target::CONTACT_TIMEOUT;
use crate::target::LEASE_TTL;
use crate::target::ModelRun;
use crate::target::ModelTarget;

const TIME_STEP: Duration = Duration::from_millis(50);
const FAULTS_DURATION: Duration = Duration::from_secs(90);
/// Long enough for all jobs to end, with runs of up to 40 s.
const MAX_DURATION: Duration = Duration::from_secs(1_000);
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(150);
const TARGETS: usize = 5;
const MAX_ATTEMPTS: u32 = 3;
const GANG_TIMEOUT: Duration = Duration::from_secs(3);

type JobRecords = BTreeMap<JobId, (Arc<AcceptedJob>, JobProgress)>;

enum Message {
    Orders(u64, TargetOrders),
    /// A single start that is carried out late, without a response.
    LateStart(u64, RunId, TargetInstance, Timestamp),
    /// The outcomes of orders, and the report that the target made after them, with its time.
    Response(
        u64,
        Vec<(RunId, OrderOutcome)>,
        Option<(Timestamp, Box<TargetReport>)>,
    ),
}

/// The schedulers, the targets and the contents of the store.
pub struct Simulation {
    seed: u64,
    rng: ChaCha8Rng,
    now: Timestamp,
    epoch: u64,
    scheduler: Scheduler,
    /// No scheduler is running before this time.
    scheduler_down_until: Timestamp,
    stored: JobRecords,
    silences: SilentInstances,
    pending_commit: Option<(Timestamp, Changes, JobRecords)>,
    targets: Vec<ModelTarget>,
    messages: Vec<(Timestamp, Message)>,
    /// When the latest delivered report of each VM was made.
    latest_reports: BTreeMap<Arc<str>, Timestamp>,
    /// Completed tasks whose end was acknowledged to their target.
    acknowledged_done: BTreeSet<TaskId>,
    acknowledged_failures: BTreeMap<TaskId, BTreeSet<u32>>,
    cancelled: BTreeSet<JobId>,
    next_job: u32,
    next_tick: Timestamp,
}

fn limits() -> SchedulingLimits {
    SchedulingLimits::builder()
        .silence_timeout(CONTACT_TIMEOUT + LEASE_TTL + Duration::from_secs(2))
        .silence_record_interval(Duration::from_secs(4))
        .max_report_age(Duration::from_millis(2500))
        .order_retry_delay(Duration::from_millis(300))
        .stop_retry_delay(Duration::from_millis(1500))
        .urgent_locality_wait(Duration::from_millis(800))
        .max_reclaim_time(Duration::from_millis(2700))
        .max_stop_time(Duration::from_millis(900))
        .progress_write_interval(Duration::from_secs(2))
        .stall_timeout(Duration::from_secs(30))
        .initial_quarantine(Duration::from_secs(5))
        .max_quarantine(Duration::from_secs(20))
        .build()
}

fn queue_rules(priority: u32) -> QueueRules {
    QueueRules {
        objective: None,
        service: ServiceName::from("design"),
        priority,
        max_attempts: MAX_ATTEMPTS,
        advisor: None,
    }
}

fn rules() -> SchedulingRules {
    let queues = (0..3).map(|priority| {
        let name = QueueName::from(format!("q{priority}").as_str());
        (name, queue_rules(priority))
    });
    SchedulingRules {
        queues: queues.collect(),
        guarantees: BTreeMap::from([(organisation("a"), 16)]),
        ..SchedulingRules::default()
    }
}

fn organisation(name: &str) -> Organisation {
    Organisation::new(name).expect("a name")
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            epoch: 1,
            scheduler: Scheduler::restore(limits(), rules(), [], now),
            scheduler_down_until: now,
            stored: JobRecords::new(),
            silences: SilentInstances::new(),
            pending_commit: None,
            targets: (0..TARGETS).map(|vm| ModelTarget::new(vm, now)).collect(),
            messages: Vec::new(),
            latest_reports: BTreeMap::new(),
            acknowledged_done: BTreeSet::new(),
            acknowledged_failures: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            next_job: 0,
            next_tick: now,
        }
    }

    fn chance(&mut self, percent: f64) -> bool {
        self.rng.random_bool(percent / 100.0)
    }

    fn millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(min..=max))
    }

    /// Simulates until all jobs have ended after the faults; returns the number of time steps.
    pub fn run(mut self) -> u64 {
        let begun = self.now;
        let mut steps = 0;
        while self.now.since(begun) < MAX_DURATION {
            let faults = self.now.since(begun) < FAULTS_DURATION;
            if faults {
                self.inject_faults();
            }
            self.now = self.now + TIME_STEP;
            steps += 1;
            self.deliver();
            self.work();
            self.report();
            self.schedule(faults);
            let open = self.stored.keys().any(|id| !self.has_ended(id));
            if !faults
                && !open
                && self
                    .scheduler
                    .job_states()
                    .all(|(.., state)| state.is_final())
            {
                return steps;
            }
        }
        for (id, _, state) in self.scheduler.job_states() {
            assert!(
                state.is_final(),
                "seed {}: job {id} is still {state:?}",
                self.seed
            );
        }
        steps
    }

    fn has_ended(&self, id: &JobId) -> bool {
        self.scheduler.job_state(id).is_some_and(JobState::is_final)
    }

    fn schedule(&mut self, faults: bool) {
        if self.now < self.scheduler_down_until {
            return;
        }
        if self.scheduler_down_until > Timestamp::ZERO {
            let jobs: Vec<_> = self.stored.values().cloned().collect();
            self.scheduler = Scheduler::restore(limits(), rules(), jobs, self.now);
            self.scheduler.restore_silences(self.silences.clone());
            self.scheduler_down_until = Timestamp::ZERO;
        }
        self.scheduler.expire_silent_targets(self.now);
        // Like the front, runs a pass immediately if one is needed, otherwise at each tick.
        if self.scheduler.needs_placement() || self.now >= self.next_tick {
            self.next_tick = self.now + PLACEMENT_INTERVAL;
            self.scheduler.place_tasks(self.now, self.now);
        }
        self.commit();
        let epoch = self.epoch;
        for orders in self.scheduler.take_due_orders(self.now) {
            let lost = faults && self.chance(5.0);
            let at = self.now + self.millis(1, 60);
            if lost {
                let starts = orders.starts.iter().map(|start| &start.run);
                let runs = starts.chain(&orders.stops).cloned();
                let unknown = runs.map(|run| (run, OrderOutcome::Unknown)).collect();
                let response = Message::Response(epoch, unknown, None);
                self.messages.push((at + Duration::from_secs(2), response));
            } else {
                self.messages.push((at, Message::Orders(epoch, orders)));
            }
        }
        self.scheduler.take_events();
    }

    fn commit(&mut self) {
        match self.pending_commit.take() {
            Some((done_at, changes, records)) if self.now >= done_at => {
                self.store(&changes, records);
                self.scheduler.mark_committed(&changes);
            }
            Some(waiting) => self.pending_commit = Some(waiting),
            None => {}
        }
        if self.pending_commit.is_some() {
            return;
        }
        let changes = self.scheduler.take_changes(self.now);
        if changes.is_empty() {
            return;
        }
        let records = changes.jobs.iter().filter_map(|id| {
            let record = self.scheduler.job_record(id)?;
            Some((id.clone(), record))
        });
        let records = records.collect();
        let max_commit_ms = if self.chance(10.0) { 3_000 } else { 400 };
        let done_at = self.now + self.millis(1, max_commit_ms);
        self.pending_commit = Some((done_at, changes, records));
    }

    fn store(&mut self, changes: &Changes, records: JobRecords) {
        self.stored.extend(records);
        if let Some(silences) = &changes.silent_instances {
            self.silences.clone_from(silences);
        }
    }

    fn report(&mut self) {
        for vm in 0..TARGETS {
            let target = &mut self.targets[vm];
            if self.now < target.next_report || target.is_partitioned(self.now) {
                continue;
            }
            target.next_report = self.now + Duration::from_millis(300);
            if self.now < self.scheduler_down_until {
                continue;
            }
            target.epoch = target.epoch.max(self.epoch);
            let report = target.report(self.now);
            self.deliver_report(self.now, &report);
            let target = &mut self.targets[vm];
            if !self.scheduler.may_renew_leases(&target.instance.vm) {
                continue;
            }
            target.last_contact_at = self.now;
            let acknowledged = self.scheduler.acknowledged_sequence(&target.instance);
            self.acknowledge_ended_runs(vm, acknowledged);
        }
    }

    /// Removes durable ended runs from the target; the checks count them from then on.
    fn acknowledge_ended_runs(&mut self, vm: usize, acknowledged: u64) {
        let target = &mut self.targets[vm];
        let (durable, kept) = std::mem::take(&mut target.ended)
            .into_iter()
            .partition(|ended| ended.sequence <= acknowledged);
        target.ended = kept;
        let durable: Vec<rattanwinch_scheduling::EndedTask> = durable;
        for ended in durable {
            let mut task = ended.run.task.clone();
            match ended.outcome {
                RunOutcome::Done => {
                    // After its lease has expired, the tasks of an unreachable target may run a
                    // second time elsewhere, which the platform's rules allow.
                    let target = &self.targets[vm];
                    if target.lapsed_at < target.ended_at[&ended.sequence] {
                        self.acknowledged_done.insert(task);
                    }
                }
                RunOutcome::Failed => {
                    if self.step(&task.step).gang {
                        task.index = 0;
                    }
                    let failed = self.acknowledged_failures.entry(task).or_default();
                    failed.insert(ended.run.number);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.messages = later;
        let due: Vec<(Timestamp, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Orders(epoch, orders) => self.handle_orders(epoch, &orders),
                Message::LateStart(epoch, run, instance, until) => {
                    let vm = self
                        .targets
                        .iter()
                        .position(|target| target.instance == instance);
                    if let Some(vm) = vm.filter(|_| self.now <= until) {
                        self.handle_start(epoch, &run, vm, until);
                    }
                }
                Message::Response(epoch, outcomes, report) => {
                    if epoch == self.epoch && self.now >= self.scheduler_down_until {
                        self.handle_response(&outcomes, report.as_ref());
                    }
                }
            }
        }
    }

    fn handle_response(
        &mut self,
        outcomes: &[(RunId, OrderOutcome)],
        report: Option<&(Timestamp, Box<TargetReport>)>,
    ) {
        if let Some((made_at, report)) = report {
            self.deliver_report(*made_at, report);
        }
        let reported = report.map(|(_, report)| &report.description.instance);
        for (run, outcome) in outcomes {
            self.scheduler
                .handle_order_outcome(run, *outcome, reported, self.now);
        }
    }

    /// Passes a report to the scheduler, unless a newer one of the VM was delivered before.
    fn deliver_report(&mut self, made_at: Timestamp, report: &TargetReport) {
        let latest_report = self
            .latest_reports
            .entry(Arc::clone(&report.description.instance.vm))
            .or_default();
        if made_at >= *latest_report {
            *latest_report = made_at;
            self.scheduler.handle_report(report, self.now);
        }
    }

    fn handle_orders(&mut self, epoch: u64, orders: &TargetOrders) {
        let found = self
            .targets
            .iter()
            .position(|target| target.instance == orders.instance);
        let Some(vm) = found.filter(|&vm| !self.targets[vm].is_partitioned(self.now)) else {
            return self.respond_unknown(epoch, orders);
        };
        let mut outcomes = Vec::new();
        for start in &orders.starts {
            let until = self.now + LEASE_TTL;
            let outcome = if self.chance(4.0) {
                let at = self.now + self.millis(500, 12_000);
                let instance = orders.instance.clone();
                let late = Message::LateStart(epoch, start.run.clone(), instance, until);
                self.messages.push((at, late));
                OrderOutcome::Unknown
            } else {
                self.handle_start(epoch, &start.run, vm, until)
            };
            outcomes.push((start.run.clone(), outcome));
        }
        for run in &orders.stops {
            let target = &mut self.targets[vm];
            let accepted = epoch >= target.epoch;
            if accepted {
                target.stop(run, self.now);
            }
            let fence = OrderOutcome::Refused(StartRefusal::Fence);
            let outcome = if accepted {
                OrderOutcome::Stopped
            } else {
                fence
            };
            outcomes.push((run.clone(), outcome));
        }
        let report = self.targets[vm].report(self.now);
        let at = self.now + TIME_STEP;
        let report = Some((self.now, Box::new(report)));
        self.messages
            .push((at, Message::Response(epoch, outcomes, report)));
    }

    fn respond_unknown(&mut self, epoch: u64, orders: &TargetOrders) {
        let starts = orders.starts.iter().map(|start| &start.run);
        let runs = starts.chain(&orders.stops).cloned();
        let unknown = runs.map(|run| (run, OrderOutcome::Unknown)).collect();
        let at = self.now + Duration::from_secs(2);
        self.messages
            .push((at, Message::Response(epoch, unknown, None)));
    }

    fn handle_start(
        &mut self,
        epoch: u64,
        run: &RunId,
        vm: usize,
        until: Timestamp,
    ) -> OrderOutcome {
        let target = &mut self.targets[vm];
        if epoch < target.epoch {
            return OrderOutcome::Refused(StartRefusal::Fence);
        }
        target.epoch = epoch;
        target.lease_until = target.lease_until.max(until);
        if target
            .running
            .get(&run.task)
            .is_some_and(|current| current.number == run.number)
        {
            return OrderOutcome::Started;
        }
        if target
            .highest_ended_run
            .get(&run.task)
            .is_some_and(|highest_ended_run| run.number <= *highest_ended_run)
        {
            return OrderOutcome::Refused(StartRefusal::Old);
        }
        self.check_start(run, vm);
        let step = self.step(&run.task.step);
        // Work that outlasts every lease reveals targets that are removed too early.
        let outlasts_leases = self.chance(15.0);
        let work = if outlasts_leases {
            self.millis(15_000, 40_000)
        } else {
            self.millis(300, 6_000)
        };
        let fails = self.chance(12.0);
        let started = ModelRun {
            number: run.number,
            resources: step.resources,
            started_at: self.now,
            work_began_at: (!step.gang).then_some(self.now),
            work,
            fails,
        };
        self.targets[vm].running.insert(run.task.clone(), started);
        OrderOutcome::Started
    }
}
