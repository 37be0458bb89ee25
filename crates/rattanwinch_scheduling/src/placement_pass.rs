use std::collections::BTreeMap;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::Event;
use crate::Resources;
use crate::RunId;
use crate::Scheduler;
use crate::TaskId;
use crate::active_run::ActiveRun;
use crate::active_run::DesiredState;
use crate::placement::Candidate;
use crate::placement::Demand;
use crate::placement::choose_targets;
use crate::scheduler::occupied_resources;
use crate::waiting::WaitingStep;

/// The maximum number of blocked steps with a reservation per pass; more would leave targets idle.
const MAX_RESERVED_STEPS: usize = 3;

impl Scheduler {
    /// Runs a placement pass: places waiting tasks, and reserves or preempts for blocked steps.
    ///
    /// `wall` is the wall-clock time, which decides when repeated jobs are due.
    pub fn place_tasks(&mut self, now: Timestamp, wall: Timestamp) {
        self.clear_placement_request();
        self.stop_stalled_runs(now);
        let mut free = self.free_resources(now);
        let mut reserved = 0;
        let mut sets = None;
        for waiting in self.waiting_steps(now, wall) {
            let demand = self.demand(&waiting);
            let candidates = self.candidates(&waiting, &demand, &free, now);
            let chosen = choose_targets(&demand, &candidates);
            for target in &chosen {
                if let Some(available) = free.get_mut(target) {
                    *available = available.minus(demand.resources);
                }
            }
            if !chosen.is_empty() {
                self.start_tasks(&waiting, &chosen, now);
            }
            if chosen.len() < waiting.task_indices.len() && reserved < MAX_RESERVED_STEPS {
                reserved += 1;
                let mut rest = demand;
                rest.count -= chosen.len();
                self.reserve_or_preempt(&waiting, &rest, &mut free, &mut sets, now);
            }
        }
    }

    /// Returns the free resources of each target that may get new tasks.
    fn free_resources(&self, now: Timestamp) -> BTreeMap<TargetName, Resources> {
        let usable = self.targets.iter().filter(|(_, target)| {
            !target.description.draining
                && !self.cordoned.contains(&target.description.instance.target)
                && target.unknown_runs.is_empty()
                && now >= target.quarantined_until
                && now.since(target.last_report_at) <= self.limits.max_report_age
                && !self.rules.closed_zones.contains(&target.description.zone)
        });
        let mut free: BTreeMap<_, _> = usable
            .map(|(name, target)| (name.clone(), target.description.capacity))
            .collect();
        for active in self.active.values() {
            let available = free.get_mut(&active.target.target);
            if let Some(available) = available {
                *available = available.minus(active.resources);
            }
        }
        free
    }

    pub(crate) fn candidates(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        free: &BTreeMap<TargetName, Resources>,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&waiting.step.job) else {
            return Vec::new();
        };
        let service = job.rules.service.clone();
        let needs_ticket = job.rules.advisor.is_some();
        let first = TaskId {
            step: waiting.step.clone(),
            index: waiting.task_indices.first().copied().unwrap_or(0),
        };
        let failed_on = job.failed_on(&first);
        let mut suitable = Vec::new();
        let mut tasks_elsewhere = 0_u64;
        for (name, &available) in free {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            let label = &waiting.description.required_label;
            let capacity = target.description.capacity;
            let fits = target.description.service == service
                && label.as_ref().is_none_or(|label| target.has_label(label))
                && capacity.fits(demand.resources);
            if fits {
                suitable.push((name, available));
                if !failed_on.contains(name) {
                    // A task that requires no resources fits any number of times.
                    tasks_elsewhere =
                        tasks_elsewhere.saturating_add(capacity.max_count(demand.resources));
                }
            }
        }
        // A faulty target would use up all attempts of a job, so a task that failed there waits
        // for another target, if any other is large enough.
        let required_tasks = if demand.gang { demand.count } else { 1 };
        let avoids_failed_targets = tasks_elsewhere >= required_tasks as u64;
        let mut candidates = Vec::new();
        for (name, available) in suitable {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            if avoids_failed_targets && failed_on.contains(name) {
                continue;
            }
            if needs_ticket
                && self
                    .advisor_tickets
                    .ticket(&waiting.step, name, now)
                    .is_none()
            {
                continue;
            }
            candidates.push(Candidate {
                name: name.clone(),
                rack: target.rack().cloned(),
                free: available,
                max_tasks: self.remaining_task_limit(waiting, name),
                failed_here: failed_on.contains(name),
            });
        }
        candidates
    }

    fn remaining_task_limit(&self, waiting: &WaitingStep, target: &TargetName) -> usize {
        let Some(max_tasks) = waiting.description.max_per_target else {
            return usize::MAX;
        };
        let here = self.active.iter().filter(|(run, active)| {
            run.task.step == waiting.step && active.target.target == *target
        });
        (max_tasks as usize).saturating_sub(here.count())
    }

    fn start_tasks(&mut self, waiting: &WaitingStep, targets: &[TargetName], now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&waiting.step.job) else {
            return;
        };
        let needs_ticket = job.rules.advisor.is_some();
        let shared_number = job.next_run(&waiting.step, &waiting.task_indices);
        let mut number = shared_number;
        for (target, &index) in targets.iter().zip(&waiting.task_indices) {
            let Some(instance) = self
                .targets
                .get(target)
                .map(|known| &known.description.instance)
            else {
                continue;
            };
            if !waiting.description.gang {
                number = job.next_run(&waiting.step, &[index]);
            }
            let task = job.task_id(waiting.step.occurrence, waiting.step.step, index);
            if let Some(task) = job.task_mut(&task) {
                task.last_run = number;
                task.placed_on = Some(instance.clone());
            }
            let ticket = needs_ticket
                .then(|| self.advisor_tickets.ticket(&waiting.step, target, now))
                .flatten();
            let active = ActiveRun {
                target: instance.clone(),
                resources: occupied_resources(&waiting.description),
                desired: DesiredState::Run,
                durable: false,
                in_flight: false,
                maybe_sent: false,
                started: false,
                started_at: None,
                is_reported: false,
                missing_since: None,
                placed_at: now,
                retry_at: now,
                percent: 0,
                progressed_at: now,
                ticket,
            };
            self.active.insert(RunId { task, number }, active);
        }
        self.mark_changed(&waiting.step.job);
        self.record_event(Event::Placed {
            step: waiting.step.clone(),
            number,
            targets: targets.to_vec(),
            waited_ms: u64::try_from(waiting.waited.as_millis()).unwrap_or(u64::MAX),
        });
    }
}
