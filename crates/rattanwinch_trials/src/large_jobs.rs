//! The cost of jobs of many steps to the scheduler of a site, in several shapes.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use clap::ValueEnum;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::EndedTask;
use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::Recurrence;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::RunningTask;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SchedulingLimits;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;
use serde::Serialize;

use crate::passes::RECLAIM_TIME;
use crate::passes::REPORT_INTERVAL;
use crate::passes::SILENCE_TIMEOUT;
use crate::passes::STOP_TIME;
use crate::passes::empty_target;
use crate::passes::queue;
use crate::passes::queue_rules;
use crate::passes::rules;

/// Targets of the measured site, of 64 cores each.
const TARGETS: u32 = 11;

/// Interval between two cycles of the scheduler; a task runs for ten of them.
const CYCLE_INTERVAL: Duration = Duration::from_millis(100);
const TASK_TIME: Duration = Duration::from_secs(1);

/// Ended runs that a target lists at a time.
const MAX_LISTED_ENDS: usize = 500;

/// Members of a gang, and steps of an occurrence of a repeated job.
const GANG_SIZE: u32 = 4;
const REPEATED_STEPS: u32 = 10;

/// Accelerators guaranteed to each organisation.
const GUARANTEE: u64 = 8;

/// Widest row of a lattice, and the most links of one: their numbers have to fit into the body of a
/// submission.
const MAX_ROW: u32 = 32;
const MAX_LATTICE_LINKS: u32 = 40_000;

value! { copy
    /// How the steps of a job depend on each other.
    #[derive(ValueEnum, Serialize)]
    pub enum JobShape {
        /// No step depends on another one.
        Independent,
        /// Each step depends on the one before.
        Chain,
        /// One step, many that depend on it, and one that depends on all of these.
        Fan,
        /// Rows of steps, each of which depends on the whole row before.
        Lattice,
        /// Independent gangs of four tasks; the size counts tasks.
        Gangs,
        /// A chain of ten steps, due at once as often as the size requires.
        Repeats,
        /// One step; the size counts its tasks.
        OneStep,
    }
}

impl JobShape {
    fn describe(self, size: u32, cpu_millis: u64) -> JobDescription {
        let (steps, repeats) = match self {
            Self::Gangs => (size.div_ceil(GANG_SIZE), 0),
            Self::Repeats => (REPEATED_STEPS, size / REPEATED_STEPS),
            Self::OneStep => (1, 0),
            _ => (size, 0),
        };
        let row = (MAX_LATTICE_LINKS / size).clamp(1, MAX_ROW);
        let step = |number: u32| {
            let depends_on = match self {
                Self::Independent | Self::Gangs | Self::OneStep => 0..0,
                Self::Chain | Self::Repeats => number.saturating_sub(1)..number,
                Self::Fan if number == 0 => 0..0,
                Self::Fan if number + 1 == size => 1..number,
                Self::Fan => 0..1,
                Self::Lattice if number < row => 0..0,
                Self::Lattice => (number / row - 1) * row..number / row * row,
            };
            StepDescription::builder()
                .count(match self {
                    Self::Gangs => GANG_SIZE,
                    Self::OneStep => size,
                    _ => 1,
                })
                .gang(self == Self::Gangs)
                .resources(Resources {
                    cpu_millis,
                    memory_mb: cpu_millis / 10,
                    accelerators: 0,
                })
                .estimated_run_time(TASK_TIME)
                .depends_on(depends_on.collect())
                .build()
        };
        JobDescription {
            payload: Arc::from("work"),
            steps: (0..steps).map(step).collect(),
            recurrence: (repeats > 0).then_some(Recurrence {
                first_due_at: Timestamp::ZERO,
                interval: Duration::ZERO,
                count: repeats,
            }),
        }
    }
}

/// The cost of jobs of one shape and size. Durations are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct LargeJobRow {
    /// The shape of the jobs.
    pub shape: JobShape,
    /// The steps of each job, or its tasks where the shape says so.
    pub size: u32,
    /// The jobs, of one organisation each.
    pub jobs: u32,
    /// Admitting and submitting one job.
    pub accept_ms: f64,
    /// The longest placement pass.
    pub longest_pass_ms: f64,
    /// The longest part of a cycle beside the pass: a report, an order's outcome, the changes with
    /// the records of changed jobs, or the orders.
    pub longest_other_ms: f64,
    /// All cycles.
    pub total_ms: f64,
    /// Cycles until all jobs were completed.
    pub cycles: u32,
    /// Tasks that were done.
    pub done: u32,
    /// All jobs were completed before the time limit.
    pub completed: bool,
}

/// The costs of all measured shapes and sizes.
#[derive(Clone, Debug, Serialize)]
pub struct LargeJobReport {
    /// One row for each shape and size.
    pub rows: Vec<LargeJobRow>,
}

/// Plays `jobs` jobs of each shape and size to their end, on one thread, for `max_time` at most. Each
/// task takes `cpu_millis` thousandths of a core. Jobs of priority 0 are within guarantees.
///
/// # Panics
///
/// If a start is ordered for an unknown target.
#[must_use]
pub fn measure_large_jobs(
    shapes: &[JobShape],
    sizes: &[u32],
    jobs: u32,
    cpu_millis: u64,
    priority: u32,
    max_time: Duration,
) -> LargeJobReport {
    let cells = shapes
        .iter()
        .flat_map(|shape| sizes.iter().map(move |size| (*shape, *size)));
    let rows = cells.map(|(shape, size)| {
        let description = shape.describe(size, cpu_millis);
        let site = Site::new(priority, jobs);
        site.play(shape, size, &description, jobs, max_time)
    });
    LargeJobReport {
        rows: rows.collect(),
    }
}

/// A site whose targets carry out all orders at once, and whose store confirms all writes at once.
struct Site {
    scheduler: Scheduler,
    now: Timestamp,
    /// The priority of all jobs.
    priority: u32,
    reports: Vec<TargetReport>,
    /// When the runs of each target end.
    ends: Vec<BTreeMap<(Timestamp, RunId), ()>>,
    sequences: Vec<u64>,
}

impl Site {
    fn new(priority: u32, jobs: u32) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let mut rules = rules();
        if priority == 0 {
            let guarantees = (0..jobs).map(|number| (organisation(number), GUARANTEE));
            rules.guarantees = guarantees.collect();
        }
        let limits =
            SchedulingLimits::for_site(SILENCE_TIMEOUT, REPORT_INTERVAL, RECLAIM_TIME, STOP_TIME);
        let mut site = Self {
            scheduler: Scheduler::restore(limits, rules, [], now),
            now,
            priority,
            reports: (0..TARGETS).map(empty_target).collect(),
            ends: vec![BTreeMap::new(); TARGETS as usize],
            sequences: vec![0; TARGETS as usize],
        };
        for report in &site.reports {
            site.scheduler.handle_report(report, now);
        }
        site
    }

    fn play(
        mut self,
        shape: JobShape,
        size: u32,
        description: &JobDescription,
        jobs: u32,
        max_time: Duration,
    ) -> LargeJobRow {
        let mut row = LargeJobRow {
            shape,
            size,
            jobs,
            accept_ms: 0.0,
            longest_pass_ms: 0.0,
            longest_other_ms: 0.0,
            total_ms: 0.0,
            cycles: 0,
            done: 0,
            completed: false,
        };
        // A full site refuses what it can't serve in time, so all are accepted before the first pass.
        for number in 0..jobs {
            let job = self.new_job(description, number);
            let begun = Instant::now();
            self.scheduler.admit(&job, self.now, self.now);
            self.scheduler.submit(Arc::new(job));
            row.accept_ms = row.accept_ms.max(millis(begun.elapsed()));
        }
        let begun = Instant::now();
        while !row.completed && begun.elapsed() < max_time {
            self.now = self.now + CYCLE_INTERVAL;
            self.cycle(&mut row);
            row.cycles += 1;
            let mut states = self.scheduler.job_states();
            row.completed = states.all(|(_, _, state)| state == JobState::Completed);
        }
        row.total_ms = millis(begun.elapsed());
        row
    }

    fn new_job(&self, description: &JobDescription, number: u32) -> AcceptedJob {
        AcceptedJob {
            id: JobId::from(format!("{number:016x}").as_str()),
            queue: queue(self.priority),
            rules: queue_rules(self.priority),
            organisation: organisation(number),
            accepted_at: self.now,
            description: description.clone(),
        }
    }

    fn cycle(&mut self, row: &mut LargeJobRow) {
        let now = self.now;
        for target in 0..self.reports.len() {
            self.end_runs(target, row);
            let report = &self.reports[target];
            let scheduler = &mut self.scheduler;
            measure(&mut row.longest_other_ms, || {
                scheduler.handle_report(report, now);
            });
        }
        let scheduler = &mut self.scheduler;
        measure(&mut row.longest_pass_ms, || scheduler.place_tasks(now, now));
        measure(&mut row.longest_other_ms, || {
            let changes = scheduler.take_changes(now);
            for id in &changes.jobs {
                std::hint::black_box(scheduler.take_job_record(id));
            }
            scheduler.mark_committed(&changes);
        });
        let mut all_orders = Vec::new();
        measure(&mut row.longest_other_ms, || {
            all_orders = scheduler.take_due_orders(now);
        });
        for orders in all_orders {
            let of_instance =
                |report: &TargetReport| report.description.instance == orders.instance;
            let target = self.reports.iter().position(of_instance);
            let target = target.expect("orders are for known targets");
            for start in orders.starts {
                self.ends[target].insert((now + TASK_TIME, start.run.clone()), ());
                self.reports[target].lists.running.push(RunningTask {
                    run: start.run.clone(),
                    checkpoint: None,
                    percent: 0,
                });
                let scheduler = &mut self.scheduler;
                measure(&mut row.longest_other_ms, || {
                    scheduler.handle_order_outcome(&start.run, OrderOutcome::Started, None, now);
                });
            }
        }
        self.scheduler.take_events();
    }

    /// Ends the runs of a target whose time is over, as many as its lists may hold.
    fn end_runs(&mut self, target: usize, row: &mut LargeJobRow) {
        let report = &mut self.reports[target];
        report.lists_clock_ms = self.now.as_millis();
        let instance = &report.description.instance;
        let acknowledged = self.scheduler.acknowledged_sequence(instance);
        let lists = &mut report.lists;
        lists.ended.retain(|ended| ended.sequence > acknowledged);
        while let Some(((ends_at, run), ())) = self.ends[target].first_key_value()
            && *ends_at <= self.now
            && lists.ended.len() < MAX_LISTED_ENDS
        {
            let run = run.clone();
            self.ends[target].pop_first();
            self.sequences[target] += 1;
            lists.running.retain(|running| running.run != run);
            lists.ended.push(EndedTask {
                sequence: self.sequences[target],
                run,
                outcome: RunOutcome::Done,
                checkpoint: None,
            });
            row.done += 1;
        }
    }
}

fn organisation(number: u32) -> Organisation {
    Organisation::new(format!("organisation-{number}")).expect("a name")
}

/// Runs a part of a cycle, and raises `longest` to its duration in milliseconds.
fn measure(longest: &mut f64, part: impl FnOnce()) {
    let begun = Instant::now();
    part();
    *longest = longest.max(millis(begun.elapsed()));
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

impl fmt::Display for LargeJobReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "milliseconds; longest part of each kind")?;
        writeln!(
            f,
            "{:>12} {:>6} {:>5} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7}",
            "shape", "size", "jobs", "accept", "pass", "other", "total", "cycles", "done"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:>12} {:>6} {:>5} {:>9.2} {:>9.2} {:>9.2} {:>9.0} {:>7} {:>7}{}",
                format!("{:?}", row.shape).to_lowercase(),
                row.size,
                row.jobs,
                row.accept_ms,
                row.longest_pass_ms,
                row.longest_other_ms,
                row.total_ms,
                row.cycles,
                row.done,
                if row.completed { "" } else { " (stopped)" }
            )?;
        }
        Ok(())
    }
}
