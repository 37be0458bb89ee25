use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::EndedTask;
use rattanwinch_scheduling::ListExtent;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunLists;
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

/// The maximum duration of a lease.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// The number of ends that a target lists at a time, small so that some lists are partial.
const MAX_LISTED_ENDS: usize = 4;

/// How long an agent renews leases without contact to a scheduler.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(8);

#[derive(Clone, Debug)]
pub struct ModelRun {
    pub number: u32,
    pub resources: Resources,
    pub started_at: Timestamp,
    /// When the work began; a gang begins once all members have started.
    pub work_began_at: Option<Timestamp>,
    pub work: Duration,
    pub fails: bool,
}

/// A modelled executor with its agent.
#[derive(Clone, Debug)]
pub struct ModelTarget {
    pub instance: TargetInstance,
    pub capacity: Resources,
    pub running: BTreeMap<TaskId, ModelRun>,
    pub highest_ended_run: BTreeMap<TaskId, u32>,
    pub ended: Vec<EndedTask>,
    /// When each run ended, by sequence number.
    pub ended_at: BTreeMap<u64, Timestamp>,
    /// When the lease last expired.
    pub lapsed_at: Timestamp,
    next_sequence: u64,
    pub epoch: u64,
    pub lease_until: Timestamp,
    /// When the last report that a scheduler answered was sent.
    pub last_contact_at: Timestamp,
    pub partitioned_until: Timestamp,
    /// The next partition, shortly after the current one: its begin and end.
    pub next_partition: Option<(Timestamp, Timestamp)>,
    pub next_report: Timestamp,
}

impl ModelTarget {
    pub fn new(vm: usize, started_at: Timestamp) -> Self {
        Self {
            instance: instance(vm, started_at),
            capacity: Resources {
                cpu_millis: 64_000,
                memory_mb: 256_000,
                accelerators: 8,
            },
            running: BTreeMap::new(),
            highest_ended_run: BTreeMap::new(),
            ended: Vec::new(),
            ended_at: BTreeMap::new(),
            lapsed_at: Timestamp::ZERO,
            next_sequence: 1,
            epoch: 0,
            lease_until: Timestamp::ZERO,
            last_contact_at: Timestamp::ZERO,
            partitioned_until: Timestamp::ZERO,
            next_partition: None,
            next_report: started_at,
        }
    }

    pub fn used(&self) -> Resources {
        let used = self.running.values().map(|run| run.resources);
        used.fold(Resources::NONE, Resources::plus)
    }

    pub fn is_partitioned(&self, now: Timestamp) -> bool {
        now < self.partitioned_until
    }

    pub fn end(&mut self, task: &TaskId, outcome: RunOutcome, now: Timestamp) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let highest_ended_run = self.highest_ended_run.entry(task.clone()).or_default();
        *highest_ended_run = (*highest_ended_run).max(run.number);
        self.ended.push(EndedTask {
            sequence: self.next_sequence,
            run: RunId {
                task: task.clone(),
                number: run.number,
            },
            outcome,
            checkpoint: None,
        });
        self.ended_at.insert(self.next_sequence, now);
        self.next_sequence += 1;
    }

    /// Stops a run, or prevents it from starting.
    pub fn stop(&mut self, run: &RunId, now: Timestamp) {
        if self
            .running
            .get(&run.task)
            .is_some_and(|current| current.number <= run.number)
        {
            self.end(&run.task, RunOutcome::Stopped, now);
        }
        let highest_ended_run = self.highest_ended_run.entry(run.task.clone()).or_default();
        *highest_ended_run = (*highest_ended_run).max(run.number);
    }

    /// Renews the lease during contact with a scheduler, and lapses all runs once it expires.
    pub fn update_lease(&mut self, now: Timestamp) {
        if self.last_contact_at > Timestamp::ZERO
            && now.since(self.last_contact_at) < CONTACT_TIMEOUT
        {
            self.lease_until = self.lease_until.max(now + LEASE_TTL);
        }
        if now > self.lease_until {
            self.lapsed_at = now;
            let tasks: Vec<_> = self.running.keys().cloned().collect();
            for task in tasks {
                self.end(&task, RunOutcome::Lapsed, now);
            }
        }
    }

    pub fn count_members(&self, step: &StepId, number: u32) -> usize {
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
            lists_clock_ms: now.as_millis(),
            description: TargetDescription {
                instance: self.instance.clone(),
                service: ServiceName::from("design"),
                zone: ZoneName::new("az-1").expect("a name"),
                capacity: self.capacity,
                labels: smallvec!["a".into(), "r1".into()],
                draining: false,
            },
            leases_end_in: None,
            leaves_in: None,
            lists: RunLists {
                running: running.collect(),
                ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
                extent: if self.ended.len() < MAX_LISTED_ENDS {
                    ListExtent::Complete
                } else {
                    ListExtent::Partial
                },
            },
        }
    }
}

fn percent(run: &ModelRun, now: Timestamp) -> u32 {
    let worked = run
        .work_began_at
        .map_or(Duration::ZERO, |begun| now.since(begun));
    u32::try_from(worked.as_millis() * 100 / run.work.as_millis().max(1)).unwrap_or(100)
}

fn instance(vm: usize, started_at: Timestamp) -> TargetInstance {
    TargetInstance {
        vm: Arc::from(format!("vm-{vm}")),
        target: TargetName::new(format!("i-{vm}-{}", started_at.as_millis())).expect("a name"),
        started_at_ms: started_at.as_millis(),
    }
}
