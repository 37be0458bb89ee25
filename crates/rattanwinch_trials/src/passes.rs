use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::ListExtent;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::QueueName;
use rattanwinch_scheduling::QueueRules;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunLists;
use rattanwinch_scheduling::RunningTask;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SchedulingLimits;
use rattanwinch_scheduling::SchedulingRules;
use rattanwinch_scheduling::ServiceName;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_scheduling::TargetDescription;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use serde::Serialize;

/// The number of running tasks per target of 8 accelerators; each uses one, so targets are full.
const TASKS_PER_TARGET: u32 = 8;

/// The number of tasks of a wide job, as in the users' larger workloads.
const JOB_TASKS: u32 = 40;

/// The number of urgent gangs that wait for whole targets.
const WAITING_GANGS: u64 = 3;

/// How long leases of 6 s can last after the last report.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(16_120);
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The reclaim time and the longest stop of the measured site.
pub(crate) const RECLAIM_TIME: Duration = Duration::from_millis(2700);
pub(crate) const STOP_TIME: Duration = Duration::from_millis(900);

/// The cost of a placement pass of a site's scheduler, at one number of targets.
#[derive(Clone, Debug, Serialize)]
pub struct PassRow {
    /// Targets of 8 accelerators.
    pub targets: u32,
    /// The number of running tasks.
    pub running: u32,
    /// Handling a report that shows only progress, in microseconds.
    pub report_us: f64,
    /// Expiring silent targets and placing tasks, in microseconds.
    pub place_us: f64,
    /// Collecting and committing changes, in microseconds.
    pub changes_us: f64,
    /// Collecting due orders, in microseconds.
    pub orders_us: f64,
}

/// The cost of placement passes against the number of targets.
#[derive(Clone, Debug, Serialize)]
pub struct PassReport {
    /// The number of passes; each figure is their mean.
    pub rounds: u32,
    /// One row for each number of targets.
    pub rows: Vec<PassRow>,
}

/// Measures placement passes on one thread: targets report in turn, with one pass after each
/// report, while the fleet is full and steps wait.
///
/// # Panics
///
/// If the scheduler does not fill the fleet.
#[must_use]
pub fn measure_passes(sizes: &[u32], rounds: u32) -> PassReport {
    let rows = sizes.iter().map(|targets| measure_size(*targets, rounds));
    PassReport {
        rounds,
        rows: rows.collect(),
    }
}

fn measure_size(targets: u32, rounds: u32) -> PassRow {
    let mut site = FullSite::new(targets);
    let mut elapsed = [Duration::ZERO; 4];
    for round in 0..rounds {
        site.now = site.now + REPORT_INTERVAL / targets;
        site.next_report(round % targets);
        let report = &site.reports[(round % targets) as usize];
        let (scheduler, now) = (&mut site.scheduler, site.now);
        let begun = Instant::now();
        scheduler.handle_report(report, now);
        let reported = Instant::now();
        scheduler.expire_silent_targets(now);
        scheduler.place_tasks(now, now);
        let placed = Instant::now();
        let changes = scheduler.take_changes(now);
        scheduler.mark_committed(&changes);
        let committed = Instant::now();
        let orders = scheduler.take_due_orders(now);
        let ordered = Instant::now();
        assert!(orders.is_empty(), "the fleet is full: {orders:?}");
        elapsed[0] += reported - begun;
        elapsed[1] += placed - reported;
        elapsed[2] += committed - placed;
        elapsed[3] += ordered - committed;
        scheduler.take_events();
    }
    let mean = |elapsed: Duration| elapsed.as_secs_f64() * 1e6 / f64::from(rounds.max(1));
    PassRow {
        targets,
        running: targets * TASKS_PER_TARGET,
        report_us: mean(elapsed[0]),
        place_us: mean(elapsed[1]),
        changes_us: mean(elapsed[2]),
        orders_us: mean(elapsed[3]),
    }
}

/// A site with full targets and waiting steps.
struct FullSite {
    scheduler: Scheduler,
    now: Timestamp,
    reports: Vec<TargetReport>,
}

impl FullSite {
    fn new(targets: u32) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let limits =
            SchedulingLimits::for_site(SILENCE_TIMEOUT, REPORT_INTERVAL, RECLAIM_TIME, STOP_TIME);
        let mut site = Self {
            scheduler: Scheduler::restore(limits, rules(), [], now),
            now,
            reports: (0..targets).map(empty_target).collect(),
        };
        site.report_all();
        let running = targets * TASKS_PER_TARGET;
        for first in (0..running).step_by(JOB_TASKS as usize) {
            let count = JOB_TASKS.min(running - first);
            // Other urgent steps do not displace urgent work.
            site.submit(0, count, 1, false);
        }
        site.start_all();
        let started: usize = site
            .reports
            .iter()
            .map(|report| report.lists.running.len())
            .sum();
        assert_eq!(started, running as usize, "all tasks fit");
        for _ in 0..WAITING_GANGS {
            site.submit(0, 6, 8, true);
        }
        site.submit(1, JOB_TASKS, 2, false);
        site
    }

    fn submit(&mut self, priority: u32, count: u32, accelerators: u64, gang: bool) {
        let step = StepDescription::builder()
            .count(count)
            .resources(Resources {
                cpu_millis: 1_000 * accelerators,
                memory_mb: 1_000 * accelerators,
                accelerators,
            })
            .estimated_run_time(Duration::from_secs(600))
            .gang(gang)
            .build();
        let number = self.scheduler.job_states().count();
        self.scheduler.submit(Arc::new(AcceptedJob {
            id: JobId::from(format!("{number:016x}").as_str()),
            queue: queue(priority),
            rules: queue_rules(priority),
            organisation: Organisation::new("letrafa").expect("a name"),
            accepted_at: self.now,
            description: JobDescription {
                payload: Arc::from("work"),
                steps: [step].into(),
                recurrence: None,
            },
        }));
    }

    fn start_all(&mut self) {
        self.scheduler.place_tasks(self.now, self.now);
        let changes = self.scheduler.take_changes(self.now);
        self.scheduler.mark_committed(&changes);
        for orders in self.scheduler.take_due_orders(self.now) {
            let of_instance =
                |report: &&mut TargetReport| report.description.instance == orders.instance;
            let report = self.reports.iter_mut().find(of_instance);
            let report = report.expect("orders are for known targets");
            for start in orders.starts {
                report.lists.running.push(RunningTask {
                    run: start.run.clone(),
                    checkpoint: None,
                    percent: 0,
                });
                let started = OrderOutcome::Started;
                self.scheduler
                    .handle_order_outcome(&start.run, started, None, self.now);
            }
        }
    }

    /// Advances the progress in the next report of a target.
    fn next_report(&mut self, target: u32) {
        self.reports[target as usize].lists_clock_ms = self.now.as_millis();
        for running in &mut self.reports[target as usize].lists.running {
            running.percent = (running.percent + 4) % 99;
        }
    }

    fn report_all(&mut self) {
        for target in 0..self.reports.len() {
            self.next_report(u32::try_from(target).unwrap_or(u32::MAX));
            self.scheduler
                .handle_report(&self.reports[target], self.now);
        }
    }
}

pub(crate) fn empty_target(number: u32) -> TargetReport {
    let instance = TargetInstance {
        vm: Arc::from(format!("side-{number}")),
        target: TargetName::new(format!("i-{number:010x}")).expect("a name"),
        started_at_ms: 1,
    };
    TargetReport {
        lists_clock_ms: 0,
        description: TargetDescription {
            instance,
            service: ServiceName::from("design"),
            zone: ZoneName::new(format!("az-{}", number % 3)).expect("a name"),
            capacity: Resources {
                cpu_millis: 64_000,
                memory_mb: 256_000,
                accelerators: 8,
            },
            labels: ["a", &format!("rack-{}", number / 3)]
                .map(Into::into)
                .into_iter()
                .collect(),
            draining: false,
        },
        lists: RunLists::empty(ListExtent::Complete),
        leases_end_in: None,
        leaves_in: None,
    }
}

pub(crate) fn queue(priority: u32) -> QueueName {
    QueueName::from(format!("queue-{priority}").as_str())
}

pub(crate) fn queue_rules(priority: u32) -> QueueRules {
    QueueRules {
        service: ServiceName::from("design"),
        priority,
        max_attempts: 3,
        objective: Some(LatencyObjective {
            base: Duration::from_secs(1),
            stretch_percent: 300,
        }),
        advisor: None,
    }
}

pub(crate) fn rules() -> SchedulingRules {
    let queues = (0..2).map(|priority| (queue(priority), queue_rules(priority)));
    SchedulingRules {
        queues: queues.collect::<BTreeMap<_, _>>(),
        ..SchedulingRules::default()
    }
}

impl fmt::Display for PassReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "means of {} passes, in microseconds", self.rounds)?;
        writeln!(
            f,
            "{:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
            "targets", "running", "report", "place", "changes", "orders"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:>8} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.1}",
                row.targets,
                row.running,
                row.report_us,
                row.place_us,
                row.changes_us,
                row.orders_us
            )?;
        }
        Ok(())
    }
}
