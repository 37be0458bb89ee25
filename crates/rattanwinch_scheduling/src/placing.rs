use std::collections::BTreeMap;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::Event;
use crate::Resources;
use crate::RunId;
use crate::Scheduler;
use crate::TaskId;
use crate::active_run::ActiveRun;
use crate::active_run::Intent;
use crate::placement::Candidate;
use crate::placement::Demand;
use crate::placement::choose;
use crate::scheduler::occupied;
use crate::waiting::Waiting;

/// Blocked steps of one pass for which room is kept free; more would leave the fleet idle.
const RESERVED_STEPS: usize = 3;

impl Scheduler {
    /// Places waiting tasks and makes room for those that have a right to it.
    ///
    /// `wall` is the time of day, by which repeated jobs are due.
    pub fn place_tasks(&mut self, now: Timestamp, wall: Timestamp) {
        self.clear_news();
        self.stop_stalled(now);
        let mut free = self.free_room(now);
        let mut reserved = 0;
        let mut sets = None;
        for waiting in self.waiting_steps(now, wall) {
            let demand = self.demand(&waiting);
            let candidates = self.candidates(&waiting, &demand, &free, now);
            let chosen = choose(&demand, &candidates);
            for target in &chosen {
                if let Some(room) = free.get_mut(target) {
                    *room = room.minus(demand.resources);
                }
            }
            if !chosen.is_empty() {
                self.start(&waiting, &chosen, now);
            }
            if chosen.len() < waiting.indices.len() && reserved < RESERVED_STEPS {
                reserved += 1;
                let mut rest = demand;
                rest.count -= chosen.len();
                self.make_room(&waiting, &rest, &mut free, &mut sets, now);
            }
        }
    }

    /// The room of each target that may take new tasks.
    fn free_room(&self, now: Timestamp) -> BTreeMap<TargetName, Resources> {
        let usable = self.targets.iter().filter(|(_, target)| {
            !target.description.draining
                && !self.resting.contains(&target.description.instance.target)
                && target.strangers.is_empty()
                && now >= target.quarantined_until
                && now.since(target.heard_at) <= self.limits.max_report_age
                && !self.rules.closed_zones.contains(&target.description.zone)
        });
        let mut free: BTreeMap<_, _> = usable
            .map(|(name, target)| (name.clone(), target.description.capacity))
            .collect();
        for active in self.active.values() {
            let room = free.get_mut(&active.target.target);
            if let Some(room) = room {
                *room = room.minus(active.resources);
            }
        }
        free
    }

    pub(crate) fn candidates(
        &mut self,
        waiting: &Waiting,
        demand: &Demand,
        free: &BTreeMap<TargetName, Resources>,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&waiting.step.job) else {
            return Vec::new();
        };
        let service = job.rules.service.clone();
        let advised = job.rules.advisor.is_some();
        let first = TaskId {
            step: waiting.step.clone(),
            index: waiting.indices.first().copied().unwrap_or(0),
        };
        let failed_on = job.failed_on(&first);
        let mut suitable = Vec::new();
        let mut room_elsewhere = 0_u64;
        for (name, &room) in free {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            let label = &waiting.described.required_label;
            let capacity = target.description.capacity;
            let fits = target.description.service == service
                && label.as_ref().is_none_or(|label| target.has_label(label))
                && capacity.fits(demand.resources);
            if fits {
                suitable.push((name, room));
                if !failed_on.contains(name) {
                    // A task that needs nothing fits any number of times.
                    room_elsewhere =
                        room_elsewhere.saturating_add(capacity.copies(demand.resources));
                }
            }
        }
        // A target that fails all it starts would use up the attempts of a job that can be done,
        // so the task waits for another one if there is any that could ever take it.
        let needed = if demand.gang { demand.count } else { 1 };
        let avoids = room_elsewhere >= needed as u64;
        let mut candidates = Vec::new();
        for (name, room) in suitable {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            if avoids && failed_on.contains(name) {
                continue;
            }
            if advised && self.advice.ticket(&waiting.step, name, now).is_none() {
                continue;
            }
            candidates.push(Candidate {
                name: name.clone(),
                rack: target.rack().cloned(),
                free: room,
                most: self.may_still_take(waiting, name),
                failed_here: failed_on.contains(name),
            });
        }
        candidates
    }

    fn may_still_take(&self, waiting: &Waiting, target: &TargetName) -> usize {
        let Some(most) = waiting.described.max_per_target else {
            return usize::MAX;
        };
        let here = self.active.iter().filter(|(run, active)| {
            run.task.step == waiting.step && active.target.target == *target
        });
        (most as usize).saturating_sub(here.count())
    }

    fn start(&mut self, waiting: &Waiting, targets: &[TargetName], now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&waiting.step.job) else {
            return;
        };
        let advised = job.rules.advisor.is_some();
        let shared_number = job.next_run(&waiting.step, &waiting.indices);
        let mut number = shared_number;
        for (target, &index) in targets.iter().zip(&waiting.indices) {
            let Some(instance) = self
                .targets
                .get(target)
                .map(|known| &known.description.instance)
            else {
                continue;
            };
            if !waiting.described.gang {
                number = job.next_run(&waiting.step, &[index]);
            }
            let task = job.task_id(waiting.step.occurrence, waiting.step.step, index);
            if let Some(task) = job.task_mut(&task) {
                task.last_run = number;
                task.placed_on = Some(instance.clone());
            }
            let ticket = advised
                .then(|| self.advice.ticket(&waiting.step, target, now))
                .flatten();
            let active = ActiveRun {
                target: instance.clone(),
                resources: occupied(&waiting.described),
                intent: Intent::Run,
                durable: false,
                in_flight: false,
                maybe_sent: false,
                started: false,
                started_at: None,
                present: false,
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
        self.note(Event::Placed {
            step: waiting.step.clone(),
            number,
            targets: targets.to_vec(),
            waited_ms: u64::try_from(waiting.waited.as_millis()).unwrap_or(u64::MAX),
        });
    }
}
