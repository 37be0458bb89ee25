use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::EndedTask;
use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::ListExtent;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::QueueName;
use rattanwinch_scheduling::QueueRules;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunLists;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::RunningTask;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SchedulingLimits;
use rattanwinch_scheduling::SchedulingRules;
use rattanwinch_scheduling::ServiceName;
use rattanwinch_scheduling::StartOrder;
use rattanwinch_scheduling::StartRefusal;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_scheduling::TargetDescription;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

/// A scheduler whose changes are durable immediately, with targets that carry out all orders.
pub struct Fixture {
    pub scheduler: Scheduler,
    pub now: Timestamp,
    pub rules: SchedulingRules,
    /// Runs make no progress while this is set.
    pub is_hung: bool,
    /// Targets do not answer their agents, which report the same lists again.
    pub repeats_lists: bool,
    /// Stops take up to this long, different for each run; zero if they end at once.
    pub max_stop_time: Duration,
    /// Progress of each run on a target in a wait, in per cent, where it isn't 1.
    pub progress: BTreeMap<TargetName, u32>,
    stopping: BTreeMap<RunId, Timestamp>,
    reports: BTreeMap<TargetName, TargetReport>,
    jobs: u64,
}

pub fn limits() -> SchedulingLimits {
    SchedulingLimits::builder()
        .silence_timeout(Duration::from_secs(16))
        .silence_record_interval(Duration::from_secs(4))
        .max_report_age(Duration::from_millis(2500))
        .order_retry_delay(Duration::from_millis(300))
        .stop_retry_delay(Duration::from_millis(1500))
        .urgent_locality_wait(Duration::from_millis(800))
        .max_reclaim_time(Duration::from_millis(2700))
        .max_stop_time(Duration::from_millis(900))
        .progress_write_interval(Duration::from_secs(2))
        .stall_timeout(Duration::from_secs(3))
        .initial_quarantine(Duration::from_secs(5))
        .max_quarantine(Duration::from_secs(40))
        .build()
}

pub fn queue_rules(priority: u32) -> QueueRules {
    QueueRules {
        objective: None,
        service: ServiceName::from("design"),
        priority,
        max_attempts: 3,
        advisor: None,
    }
}

/// A step of `count` tasks with `accelerators` each.
pub fn step(count: u32, accelerators: u64) -> StepDescription {
    StepDescription::builder()
        .count(count)
        .resources(Resources {
            cpu_millis: 1_000 * accelerators,
            memory_mb: 1_000 * accelerators,
            accelerators,
        })
        .estimated_run_time(Duration::from_secs(2))
        .build()
}

impl Fixture {
    /// Creates targets of 8 accelerators each, named `t0`, `t1` and so on, in racks of two.
    pub fn new(targets: usize) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let queues = (0..3).map(|priority| {
            let name = QueueName::from(format!("q{priority}").as_str());
            (name, queue_rules(priority))
        });
        let rules = SchedulingRules {
            queues: queues.collect(),
            ..SchedulingRules::default()
        };
        let mut fixture = Self {
            scheduler: Scheduler::restore(limits(), rules.clone(), [], now),
            now,
            rules,
            is_hung: false,
            repeats_lists: false,
            max_stop_time: Duration::ZERO,
            progress: BTreeMap::new(),
            stopping: BTreeMap::new(),
            reports: BTreeMap::new(),
            jobs: 0,
        };
        for number in 0..targets {
            fixture.add_target(number, 0);
        }
        fixture
    }

    pub fn add_target(&mut self, number: usize, started_at_ms: u64) {
        let instance = TargetInstance {
            vm: Arc::from(format!("vm{number}")),
            target: target(number),
            started_at_ms,
        };
        let description = TargetDescription {
            instance,
            service: ServiceName::from("design"),
            zone: ZoneName::new(format!("az-{}", number / 2)).expect("a name"),
            capacity: Resources {
                cpu_millis: 64_000,
                memory_mb: 64_000,
                accelerators: 8,
            },
            labels: ["a", &format!("r{}", number / 2)]
                .map(Into::into)
                .into_iter()
                .collect(),
            draining: false,
        };
        let report = TargetReport {
            description,
            lists_clock_ms: self.now.as_millis(),
            lists: RunLists::empty(ListExtent::Complete),
            leases_end_in: None,
            leaves_in: None,
        };
        self.scheduler.handle_report(&report, self.now);
        self.reports.insert(target(number), report);
    }

    pub fn set_rules(&mut self) {
        self.scheduler.set_rules(self.rules.clone());
    }

    pub fn guarantee(&mut self, organisation: &str, accelerators: u64) {
        let name = Organisation::new(organisation).expect("a name");
        self.rules.guarantees.insert(name, accelerators);
        self.set_rules();
    }

    pub fn submit(
        &mut self,
        priority: u32,
        organisation: &str,
        steps: &[StepDescription],
    ) -> JobId {
        let description = JobDescription {
            payload: Arc::from("work"),
            steps: steps.into(),
            recurrence: None,
        };
        self.submit_described(priority, organisation, description)
    }

    pub fn submit_described(
        &mut self,
        priority: u32,
        organisation: &str,
        description: JobDescription,
    ) -> JobId {
        let job = self.new_job(priority, organisation, description);
        let id = job.id.clone();
        self.scheduler.submit(Arc::new(job));
        id
    }

    pub fn new_job(
        &mut self,
        priority: u32,
        organisation: &str,
        description: JobDescription,
    ) -> AcceptedJob {
        self.jobs += 1;
        let id = JobId::from(format!("job{}", self.jobs).as_str());
        let queue = QueueName::from(format!("q{priority}").as_str());
        AcceptedJob {
            id,
            queue: queue.clone(),
            rules: self.rules.queues[&queue].clone(),
            organisation: Organisation::new(organisation).expect("a name"),
            // A millisecond apart, so that the order of arrival is unambiguous.
            accepted_at: self.now + Duration::from_millis(self.jobs),
            description,
        }
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for (name, report) in &mut self.reports {
            let gained = self.progress.get(name).copied().unwrap_or(1);
            if self.repeats_lists {
                self.scheduler.handle_report(report, self.now);
                continue;
            }
            report.lists_clock_ms = self.now.as_millis();
            for running in report.lists.running.iter_mut().filter(|_| !self.is_hung) {
                running.percent = (running.percent + gained) % 99;
            }
            self.scheduler.handle_report(report, self.now);
        }
    }

    /// Waits in short steps with a placement pass each, while stops end.
    pub fn play(&mut self, millis: u64) {
        const STEP_MS: u64 = 20;
        for _ in 0..millis / STEP_MS {
            self.wait(STEP_MS);
            let now = self.now;
            let ended: Vec<_> = self.stopping.extract_if(.., |_, at| *at <= now).collect();
            for (run, _) in ended {
                self.end(&run, RunOutcome::Stopped);
            }
            self.step();
        }
    }

    /// Returns when a stop of the run ends: later for each next one of a few runs.
    fn stop_end(&self, run: &RunId) -> Timestamp {
        let spread = run.task.index % 5;
        self.now + self.max_stop_time * (spread + 1) / 6
    }

    /// Lets a target refuse a start that was sent earlier, of a run that it still lists.
    pub fn refuse_start(&mut self, number: usize) {
        let run = self.report_mut(number).lists.running[0].run.clone();
        let refused = OrderOutcome::Refused(StartRefusal::Room);
        self.scheduler
            .handle_order_outcome(&run, refused, None, self.now);
    }

    pub fn target_count(&self) -> usize {
        self.reports.len()
    }

    pub fn report_mut(&mut self, number: usize) -> &mut TargetReport {
        self.reports.get_mut(&target(number)).expect("a target")
    }

    /// Passes the outcome of an order, with the report that a target's agent made after it.
    pub fn answer(&mut self, number: usize, run: &RunId, outcome: OrderOutcome) {
        let report = self.report_mut(number).clone();
        self.scheduler.handle_report(&report, self.now);
        let instance = Some(&report.description.instance);
        self.scheduler
            .handle_order_outcome(run, outcome, instance, self.now);
    }

    pub fn commit(&mut self) {
        let changes = self.scheduler.take_changes(self.now);
        self.scheduler.mark_committed(&changes);
    }

    /// Runs a placement pass, commits it and carries out all orders; returns the started runs.
    pub fn step(&mut self) -> Vec<(TargetName, StartOrder)> {
        self.scheduler.place_tasks(self.now, self.now);
        self.commit();
        let mut started = Vec::new();
        let mut stopping = Vec::new();
        for orders in self.scheduler.take_due_orders(self.now) {
            let name = orders.instance.target.clone();
            let report = self.reports.get_mut(&name).expect("a target");
            let mut outcomes = Vec::new();
            for start in orders.starts {
                report.lists.running.push(RunningTask {
                    run: start.run.clone(),
                    checkpoint: None,
                    percent: 0,
                });
                outcomes.push((start.run.clone(), OrderOutcome::Started));
                started.push((name.clone(), start));
            }
            for run in orders.stops {
                if self.max_stop_time > Duration::ZERO
                    && report
                        .lists
                        .running
                        .iter()
                        .any(|running| running.run == run)
                {
                    outcomes.push((run.clone(), OrderOutcome::Stopped));
                    stopping.push(run);
                    continue;
                }
                end_run_in_report(report, &run, RunOutcome::Stopped);
                outcomes.push((run, OrderOutcome::Stopped));
            }
            let report = report.clone();
            self.scheduler.handle_report(&report, self.now);
            let instance = Some(&report.description.instance);
            for (run, outcome) in outcomes {
                self.scheduler
                    .handle_order_outcome(&run, outcome, instance, self.now);
            }
        }
        for run in stopping {
            let end = self.stop_end(&run);
            self.stopping.entry(run).or_insert(end);
        }
        started
    }

    /// Ends a run on its target and reports the end.
    pub fn end(&mut self, run: &RunId, outcome: RunOutcome) {
        let report_with_run = self.reports.values_mut().find(|report| {
            report
                .lists
                .running
                .iter()
                .any(|running| running.run == *run)
        });
        let report = report_with_run.expect("a target runs it");
        end_run_in_report(report, run, outcome);
        let report = report.clone();
        self.scheduler.handle_report(&report, self.now);
    }

    /// Ends every run of a job.
    pub fn end_job(&mut self, job: &JobId, outcome: RunOutcome) {
        let all = self
            .reports
            .values()
            .flat_map(|report| &report.lists.running);
        let runs = all.map(|running| running.run.clone());
        let runs: Vec<_> = runs.filter(|run| run.task.step.job == *job).collect();
        for run in runs {
            self.end(&run, outcome);
        }
    }

    /// Returns the target of each running task of a job.
    pub fn running(&self, job: &JobId) -> Vec<TargetName> {
        let mut targets = Vec::new();
        for (name, report) in &self.reports {
            let of_job = report
                .lists
                .running
                .iter()
                .filter(|running| running.run.task.step.job == *job);
            targets.extend(of_job.map(|_| name.clone()));
        }
        targets
    }
}

fn end_run_in_report(report: &mut TargetReport, run: &RunId, outcome: RunOutcome) {
    let before = report.lists.running.len();
    report.lists.running.retain(|running| running.run != *run);
    if report.lists.running.len() < before {
        let sequence = report
            .lists
            .ended
            .last()
            .map_or(1, |last| last.sequence + 1);
        report.lists.ended.push(EndedTask {
            sequence,
            run: run.clone(),
            outcome,
            checkpoint: None,
        });
    }
}

pub fn target(number: usize) -> TargetName {
    TargetName::new(format!("t{number}")).expect("a name")
}
