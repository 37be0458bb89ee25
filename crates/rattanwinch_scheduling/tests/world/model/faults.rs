use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::QueueName;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::StepDescription;

use super::Simulation;
use super::TARGETS;
use super::organisation;
use super::queue_rules;
use crate::target::ModelTarget;

impl Simulation {
    pub(super) fn inject_faults(&mut self) {
        if self.chance(4.0) {
            self.submit();
        }
        if self.chance(0.5) {
            self.cancel();
        }
        if self.chance(0.4) {
            self.replace_scheduler();
        }
        for vm in 0..TARGETS {
            if self.chance(0.1) {
                self.targets[vm].partitioned_until = self.now + self.millis(500, 25_000);
                self.plan_next_partition(vm);
            }
            self.begin_next_partition(vm);
            if self.chance(0.05) {
                self.targets[vm] = ModelTarget::new(vm, self.now);
            }
        }
    }

    /// Some partitions are followed by another one, shortly after the target has reported again.
    fn plan_next_partition(&mut self, vm: usize) {
        if self.chance(60.0) {
            let begin = self.targets[vm].partitioned_until + self.millis(50, 800);
            self.targets[vm].next_partition = Some((begin, begin + self.millis(500, 25_000)));
        }
    }

    fn begin_next_partition(&mut self, vm: usize) {
        let now = self.now;
        let next = self.targets[vm]
            .next_partition
            .take_if(|(begin, _)| *begin <= now);
        let Some((_, end)) = next else { return };
        self.targets[vm].partitioned_until = end;
        self.plan_next_partition(vm);
        // Faults are correlated: a partition may coincide with the loss of the scheduler.
        if self.chance(50.0) {
            self.replace_scheduler();
        }
    }

    fn submit(&mut self) {
        self.next_job += 1;
        let priority = self.rng.random_range(0..3);
        let steps = self.rng.random_range(1..=2_u32);
        let steps: Vec<_> = (0..steps).map(|number| self.random_step(number)).collect();
        let accepted = AcceptedJob {
            id: JobId::from(format!("job-{}", self.next_job).as_str()),
            queue: QueueName::from(format!("q{priority}").as_str()),
            rules: queue_rules(priority),
            organisation: organisation(if self.chance(50.0) { "a" } else { "b" }),
            accepted_at: self.now,
            description: JobDescription {
                payload: Arc::from("work"),
                steps: steps.into(),
                recurrence: None,
            },
        };
        if self.now >= self.scheduler_down_until {
            self.scheduler.submit(Arc::new(accepted));
        }
    }

    fn random_step(&mut self, number: u32) -> StepDescription {
        let earlier_steps = (0..number).collect();
        StepDescription::builder()
            .count(self.rng.random_range(1..=4))
            .resources(Resources {
                cpu_millis: 8_000,
                memory_mb: 16_000,
                accelerators: [1, 1, 2, 4, 8][self.rng.random_range(0..5)],
            })
            .estimated_run_time(Duration::from_secs(2))
            .gang(self.chance(40.0))
            .same_rack(self.chance(20.0))
            .depends_on(earlier_steps)
            .build()
    }

    fn cancel(&mut self) {
        let ids: Vec<_> = self.stored.keys().cloned().collect();
        if ids.is_empty() || self.now < self.scheduler_down_until {
            return;
        }
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        self.scheduler.cancel(&id);
        self.cancelled.insert(id);
    }

    /// Replaces the scheduler with one restored from the store. A commit in progress may or may
    /// not have been written.
    fn replace_scheduler(&mut self) {
        if let Some((_, changes, records)) = self.pending_commit.take()
            && self.chance(50.0)
        {
            self.store(&changes, records);
        }
        self.epoch += 1;
        self.scheduler_down_until = self.now + self.millis(100, 3_000);
    }
}
