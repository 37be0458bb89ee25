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

use crate::target::AUTONOMY;
use crate::target::LEASE;
use crate::target::ModelRun;
use crate::target::ModelTarget;

const STEP: Duration = Duration::from_millis(50);
const FAULTS_END: Duration = Duration::from_secs(90);
/// Long enough for all jobs, with runs of up to 40 s.
const PLAY_END: Duration = Duration::from_secs(1_000);
const TICK: Duration = Duration::from_millis(150);
const TARGETS: usize = 5;
const MAX_ATTEMPTS: u32 = 3;
const GANG_TIMEOUT: Duration = Duration::from_secs(3);

type Stored = BTreeMap<JobId, (Arc<AcceptedJob>, JobProgress)>;

enum Message {
    Orders(u64, TargetOrders),
    /// A single start that is carried out late, without an answer.
    LateStart(u64, RunId, TargetInstance, Timestamp),
    /// Outcomes, and what the target listed after them and when.
    Answer(
        u64,
        Vec<(RunId, OrderOutcome)>,
        Option<(Timestamp, TargetReport)>,
    ),
}

/// Schedulers, targets, and what a store would hold.
pub struct World {
    seed: u64,
    rng: ChaCha8Rng,
    now: Timestamp,
    epoch: u64,
    scheduler: Scheduler,
    /// No scheduler is at work until then.
    down_until: Timestamp,
    stored: Stored,
    silences: SilentInstances,
    committing: Option<(Timestamp, Changes, Stored)>,
    targets: Vec<ModelTarget>,
    messages: Vec<(Timestamp, Message)>,
    /// When the newest report of each VM was made.
    heard: BTreeMap<Arc<str>, Timestamp>,
    /// Ends that a target was told to forget.
    noted_done: BTreeSet<TaskId>,
    noted_failures: BTreeMap<TaskId, BTreeSet<u32>>,
    cancelled: BTreeSet<JobId>,
    next_job: u32,
    next_tick: Timestamp,
}

fn limits() -> SchedulingLimits {
    SchedulingLimits::builder()
        .silence_timeout(AUTONOMY + LEASE + Duration::from_secs(2))
        .silence_record_interval(Duration::from_secs(4))
        .max_report_age(Duration::from_millis(2500))
        .order_retry_delay(Duration::from_millis(300))
        .stop_retry_delay(Duration::from_millis(1500))
        .urgent_locality_wait(Duration::from_millis(800))
        .checkpoint_write_interval(Duration::from_secs(2))
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

impl World {
    pub fn new(seed: u64) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            epoch: 1,
            scheduler: Scheduler::restore(limits(), rules(), [], now),
            down_until: now,
            stored: Stored::new(),
            silences: SilentInstances::new(),
            committing: None,
            targets: (0..TARGETS).map(|vm| ModelTarget::new(vm, now)).collect(),
            messages: Vec::new(),
            heard: BTreeMap::new(),
            noted_done: BTreeSet::new(),
            noted_failures: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            next_job: 0,
            next_tick: now,
        }
    }

    fn chance(&mut self, percent: f64) -> bool {
        self.rng.random_bool(percent / 100.0)
    }

    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(least..=most))
    }

    /// Plays until all jobs have ended after the faults; gives the number of steps.
    pub fn play(mut self) -> u64 {
        let begun = self.now;
        let mut steps = 0;
        while self.now.since(begun) < PLAY_END {
            let faults = self.now.since(begun) < FAULTS_END;
            if faults {
                self.disturb();
            }
            self.now = self.now + STEP;
            steps += 1;
            self.deliver();
            self.work();
            self.report();
            self.schedule(faults);
            let open = self.stored.keys().any(|id| !self.is_over(id));
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

    fn is_over(&self, id: &JobId) -> bool {
        self.scheduler.job_state(id).is_some_and(JobState::is_final)
    }

    fn schedule(&mut self, faults: bool) {
        if self.now < self.down_until {
            return;
        }
        if self.down_until > Timestamp::ZERO {
            let jobs: Vec<_> = self.stored.values().cloned().collect();
            self.scheduler = Scheduler::restore(limits(), rules(), jobs, self.now);
            self.scheduler.restore_silences(self.silences.clone());
            self.down_until = Timestamp::ZERO;
        }
        self.scheduler.expire_silent_targets(self.now);
        // As the front does: at once if something has happened, else with each tick.
        if self.scheduler.needs_placement() || self.now >= self.next_tick {
            self.next_tick = self.now + TICK;
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
                let answer = Message::Answer(epoch, unknown, None);
                self.messages.push((at + Duration::from_secs(2), answer));
            } else {
                self.messages.push((at, Message::Orders(epoch, orders)));
            }
        }
        self.scheduler.take_events();
    }

    fn commit(&mut self) {
        match self.committing.take() {
            Some((done_at, changes, records)) if self.now >= done_at => {
                self.store(&changes, records);
                self.scheduler.mark_committed(&changes);
            }
            Some(waiting) => self.committing = Some(waiting),
            None => {}
        }
        if self.committing.is_some() {
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
        let slowest = if self.chance(10.0) { 3_000 } else { 400 };
        let done_at = self.now + self.millis(1, slowest);
        self.committing = Some((done_at, changes, records));
    }

    fn store(&mut self, changes: &Changes, records: Stored) {
        self.stored.extend(records);
        if let Some(silences) = &changes.silent_instances {
            self.silences.clone_from(silences);
        }
    }

    fn report(&mut self) {
        for vm in 0..TARGETS {
            let target = &mut self.targets[vm];
            if self.now < target.next_report || target.is_cut(self.now) {
                continue;
            }
            target.next_report = self.now + Duration::from_millis(300);
            if self.now < self.down_until {
                continue;
            }
            target.epoch = target.epoch.max(self.epoch);
            let report = target.report(self.now);
            self.hear(self.now, &report);
            let target = &mut self.targets[vm];
            if !self.scheduler.may_renew_leases(&target.instance.vm) {
                continue;
            }
            target.contact = self.now;
            let acknowledged = self.scheduler.acknowledged_sequence(&target.instance);
            self.forget(vm, acknowledged);
        }
    }

    /// The target forgets ends that are durable; from then on they count.
    fn forget(&mut self, vm: usize, acknowledged: u64) {
        let target = &mut self.targets[vm];
        let (noted, kept) = std::mem::take(&mut target.ended)
            .into_iter()
            .partition(|ended| ended.sequence <= acknowledged);
        target.ended = kept;
        let noted: Vec<rattanwinch_scheduling::EndedTask> = noted;
        for ended in noted {
            let mut task = ended.run.task.clone();
            match ended.outcome {
                RunOutcome::Done => {
                    // Once its lease has run out, a target that nobody reached may find its work
                    // done a second time elsewhere; the platform's rules allow that.
                    let target = &self.targets[vm];
                    if target.lapsed_at < target.ended_at[&ended.sequence] {
                        self.noted_done.insert(task);
                    }
                }
                RunOutcome::Failed => {
                    if self.step(&task.step).gang {
                        task.index = 0;
                    }
                    let failed = self.noted_failures.entry(task).or_default();
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
                Message::Orders(epoch, orders) => self.carry_out(epoch, &orders),
                Message::LateStart(epoch, run, instance, until) => {
                    let vm = self
                        .targets
                        .iter()
                        .position(|target| target.instance == instance);
                    if let Some(vm) = vm.filter(|_| self.now <= until) {
                        self.take_start(epoch, &run, vm, until);
                    }
                }
                Message::Answer(epoch, outcomes, report) => {
                    if epoch == self.epoch && self.now >= self.down_until {
                        self.answer(&outcomes, report.as_ref());
                    }
                }
            }
        }
    }

    fn answer(
        &mut self,
        outcomes: &[(RunId, OrderOutcome)],
        report: Option<&(Timestamp, TargetReport)>,
    ) {
        if let Some((made_at, report)) = report {
            self.hear(*made_at, report);
        }
        for (run, outcome) in outcomes {
            self.scheduler
                .handle_order_outcome(run, *outcome, report.is_some(), self.now);
        }
    }

    /// Gives a report to the scheduler, unless a newer one of that VM has come before it.
    fn hear(&mut self, made_at: Timestamp, report: &TargetReport) {
        let heard = self
            .heard
            .entry(Arc::clone(&report.description.instance.vm))
            .or_default();
        if made_at >= *heard {
            *heard = made_at;
            self.scheduler.handle_report(report, self.now);
        }
    }

    fn carry_out(&mut self, epoch: u64, orders: &TargetOrders) {
        let found = self
            .targets
            .iter()
            .position(|target| target.instance == orders.instance);
        let Some(vm) = found.filter(|&vm| !self.targets[vm].is_cut(self.now)) else {
            return self.leave_unanswered(epoch, orders);
        };
        let mut outcomes = Vec::new();
        for start in &orders.starts {
            let until = self.now + LEASE;
            let outcome = if self.chance(4.0) {
                let at = self.now + self.millis(500, 12_000);
                let instance = orders.instance.clone();
                let late = Message::LateStart(epoch, start.run.clone(), instance, until);
                self.messages.push((at, late));
                OrderOutcome::Unknown
            } else {
                self.take_start(epoch, &start.run, vm, until)
            };
            outcomes.push((start.run.clone(), outcome));
        }
        for run in &orders.stops {
            let target = &mut self.targets[vm];
            let obeyed = epoch >= target.epoch;
            if obeyed {
                target.stop(run, self.now);
            }
            let fence = OrderOutcome::Refused(StartRefusal::Fence);
            let outcome = if obeyed { OrderOutcome::Stopped } else { fence };
            outcomes.push((run.clone(), outcome));
        }
        let report = self.targets[vm].report(self.now);
        let at = self.now + STEP;
        let report = Some((self.now, report));
        self.messages
            .push((at, Message::Answer(epoch, outcomes, report)));
    }

    fn leave_unanswered(&mut self, epoch: u64, orders: &TargetOrders) {
        let starts = orders.starts.iter().map(|start| &start.run);
        let runs = starts.chain(&orders.stops).cloned();
        let unknown = runs.map(|run| (run, OrderOutcome::Unknown)).collect();
        let at = self.now + Duration::from_secs(2);
        self.messages
            .push((at, Message::Answer(epoch, unknown, None)));
    }

    fn take_start(&mut self, epoch: u64, run: &RunId, vm: usize, until: Timestamp) -> OrderOutcome {
        let target = &mut self.targets[vm];
        if epoch < target.epoch {
            return OrderOutcome::Refused(StartRefusal::Fence);
        }
        target.epoch = epoch;
        target.lease_until = target.lease_until.max(until);
        if target
            .running
            .get(&run.task)
            .is_some_and(|there| there.number == run.number)
        {
            return OrderOutcome::Started;
        }
        if target
            .over
            .get(&run.task)
            .is_some_and(|over| run.number <= *over)
        {
            return OrderOutcome::Refused(StartRefusal::Old);
        }
        self.check_start(run, vm);
        let step = self.step(&run.task.step);
        // Work that outlasts every lease shows whether a target is given up too early.
        let outlasting = self.chance(15.0);
        let work = if outlasting {
            self.millis(15_000, 40_000)
        } else {
            self.millis(300, 6_000)
        };
        let fails = self.chance(12.0);
        let started = ModelRun {
            number: run.number,
            resources: step.resources,
            present_at: self.now,
            begun_at: (!step.gang).then_some(self.now),
            work,
            fails,
        };
        self.targets[vm].running.insert(run.task.clone(), started);
        OrderOutcome::Started
    }
}
