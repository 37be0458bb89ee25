use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::EndedTask;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::RunningTask;
use rattanwinch_scheduling::ServiceName;
use rattanwinch_scheduling::StepId;
use rattanwinch_scheduling::TargetDescription;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_scheduling::TaskId;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use smallvec::smallvec;

/// The longest lease that a target grants.
pub const LEASE: Duration = Duration::from_secs(6);

/// How long an agent renews leases without word from a scheduler.
pub const AUTONOMY: Duration = Duration::from_secs(8);

#[derive(Clone, Debug)]
pub struct ModelRun {
    pub number: u32,
    pub resources: Resources,
    pub present_at: Timestamp,
    /// When the work began; a gang begins once it is complete.
    pub begun_at: Option<Timestamp>,
    pub work: Duration,
    pub fails: bool,
}

/// An executor and its agent.
#[derive(Clone, Debug)]
pub struct ModelTarget {
    pub instance: TargetInstance,
    pub capacity: Resources,
    pub running: BTreeMap<TaskId, ModelRun>,
    pub over: BTreeMap<TaskId, u32>,
    pub ended: Vec<EndedTask>,
    /// When each end came, by its number.
    pub ended_at: BTreeMap<u64, Timestamp>,
    /// When the lease ran out last.
    pub lapsed_at: Timestamp,
    next_end: u64,
    pub epoch: u64,
    pub lease_until: Timestamp,
    /// When the last report was sent that a scheduler answered.
    pub contact: Timestamp,
    pub cut_until: Timestamp,
    /// The next cut, shortly after this one: its begin and its end.
    pub next_cut: Option<(Timestamp, Timestamp)>,
    pub next_report: Timestamp,
}

impl ModelTarget {
    pub fn new(vm: usize, born: Timestamp) -> Self {
        Self {
            instance: instance(vm, born),
            capacity: Resources {
                cpu_millis: 64_000,
                memory_mb: 256_000,
                accelerators: 8,
            },
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            ended_at: BTreeMap::new(),
            lapsed_at: Timestamp::ZERO,
            next_end: 1,
            epoch: 0,
            lease_until: Timestamp::ZERO,
            contact: Timestamp::ZERO,
            cut_until: Timestamp::ZERO,
            next_cut: None,
            next_report: born,
        }
    }

    pub fn used(&self) -> Resources {
        let needs = self.running.values().map(|run| run.resources);
        needs.fold(Resources::NONE, Resources::plus)
    }

    pub fn is_cut(&self, now: Timestamp) -> bool {
        now < self.cut_until
    }

    pub fn end(&mut self, task: &TaskId, outcome: RunOutcome, now: Timestamp) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let over = self.over.entry(task.clone()).or_default();
        *over = (*over).max(run.number);
        self.ended.push(EndedTask {
            sequence: self.next_end,
            run: RunId {
                task: task.clone(),
                number: run.number,
            },
            outcome,
            checkpoint: None,
        });
        self.ended_at.insert(self.next_end, now);
        self.next_end += 1;
    }

    /// Stops a run, or makes it impossible.
    pub fn stop(&mut self, run: &RunId, now: Timestamp) {
        if self
            .running
            .get(&run.task)
            .is_some_and(|there| there.number <= run.number)
        {
            self.end(&run.task, RunOutcome::Stopped, now);
        }
        let over = self.over.entry(run.task.clone()).or_default();
        *over = (*over).max(run.number);
    }

    /// Renews the lease while a scheduler is in touch, and lets everything lapse after it.
    pub fn keep_lease(&mut self, now: Timestamp) {
        if self.contact > Timestamp::ZERO && now.since(self.contact) < AUTONOMY {
            self.lease_until = self.lease_until.max(now + LEASE);
        }
        if now > self.lease_until {
            self.lapsed_at = now;
            let tasks: Vec<_> = self.running.keys().cloned().collect();
            for task in tasks {
                self.end(&task, RunOutcome::Lapsed, now);
            }
        }
    }

    pub fn has(&self, step: &StepId, number: u32) -> usize {
        let runs = self.running.iter();
        runs.filter(|(task, run)| task.step == *step && run.number == number)
            .count()
    }

    pub fn report(&self, now: Timestamp) -> TargetReport {
        let running = self.running.iter().map(|(task, run)| RunningTask {
            run: RunId {
                task: task.clone(),
                number: run.number,
            },
            checkpoint: None,
            percent: percent(run, now),
        });
        TargetReport {
            description: TargetDescription {
                instance: self.instance.clone(),
                service: ServiceName::from("design"),
                zone: ZoneName::new("az-1").expect("a name"),
                capacity: self.capacity,
                labels: smallvec!["a".into(), "r1".into()],
                draining: false,
            },
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

fn percent(run: &ModelRun, now: Timestamp) -> u32 {
    let worked = run
        .begun_at
        .map_or(Duration::ZERO, |begun| now.since(begun));
    u32::try_from(worked.as_millis() * 100 / run.work.as_millis().max(1)).unwrap_or(100)
}

fn instance(vm: usize, born: Timestamp) -> TargetInstance {
    TargetInstance {
        vm: Arc::from(format!("vm-{vm}")),
        target: TargetName::new(format!("i-{vm}-{}", born.as_millis())).expect("a name"),
        started_at_ms: born.as_millis(),
    }
}
