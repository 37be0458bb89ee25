use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::Event;
use crate::JobId;
use crate::RunId;
use crate::Scheduler;
use crate::TaskId;
use crate::active_runs::ActiveRun;
use crate::placement::Candidate;
use crate::placement::Demand;
use crate::placement::choose_targets;
use crate::preemption::ReclaimPass;
use crate::reservations::ReservedRoom;
use crate::room::Availability;
use crate::room::Room;
use crate::scheduler::occupied_resources;
use crate::waiting::WaitingStep;

/// The maximum number of blocked steps for which a pass looks for room, beside those within a
/// guarantee; more would leave targets idle.
const MAX_BLOCKED_STEPS: usize = 3;

/// The maximum number of blocked steps of a job within a guarantee for which a pass looks for room.
/// The others have their turn as these start; a plan for each of some thousand takes too long.
const MAX_GUARANTEED_STEPS: usize = 8;

/// How long a step waits for targets that are not suspected of failing all runs.
const MAX_WAIT_FOR_TRUSTED: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Runs a placement pass: places waiting tasks, and holds or makes room for blocked steps.
    ///
    /// `wall` is the wall-clock time, which decides when repeated jobs are due.
    pub fn place_tasks(&mut self, now: Timestamp, wall: Timestamp) {
        self.clear_placement_request();
        self.speeds.fit_if_due(now);
        self.run_times.fit_if_due(&self.speeds, &self.jobs, now);
        self.stop_stalled_runs(now);
        let guaranteed_jobs = self.guaranteed_jobs();
        let steps = self.waiting_steps(&guaranteed_jobs, now, wall);
        let room = self.room(now);
        self.reservations.retain(&steps);
        let mut pass = self.begin_reclaim_pass(&steps, guaranteed_jobs, room, now, wall);
        self.backlog.clear();
        let mut blocked = 0;
        let mut guaranteed: BTreeMap<JobId, usize> = BTreeMap::new();
        for mut waiting in steps {
            let mut reclaim = pass.underway.remove(&waiting.group);
            if let Some(reclaim) = &mut reclaim {
                reclaim.guaranteed = waiting.guaranteed;
                reclaim.release(&mut pass.room);
            }
            let mut demand = self.demand(&waiting);
            let mut chosen = self.place_now(&mut waiting, &mut demand, &mut pass.room, now);
            chosen.extend(self.place_in_reserved_room(&mut waiting, &mut demand, &mut pass, now));
            if demand.count == 0 {
                continue;
            }
            self.record_blocked(&waiting, &demand);
            let mut is_held = false;
            if let Some(reclaim) = &mut reclaim {
                reclaim.drop_used_holds(&chosen, demand.count);
                let missing =
                    self.continue_reclaim(reclaim, &waiting, &demand, &mut pass.room, now);
                is_held = missing == 0;
            }
            if let Some(reclaim) = reclaim.take_if(|_| is_held) {
                pass.kept.insert(waiting.group.clone(), reclaim);
                continue;
            }
            if waiting.is_seen_seldom {
                // What an earlier pass began is still used.
                pass.kept
                    .extend(reclaim.map(|reclaim| (waiting.group.clone(), reclaim)));
                continue;
            }
            let of_job = guaranteed.entry(waiting.step.job.clone()).or_insert(0);
            *of_job += usize::from(waiting.guaranteed);
            let is_guaranteed = waiting.guaranteed && *of_job <= MAX_GUARANTEED_STEPS;
            if is_guaranteed || reclaim.is_some() || blocked < MAX_BLOCKED_STEPS {
                blocked += 1;
                self.make_room(&waiting, &demand, reclaim, &mut pass, now);
            }
        }
        self.move_runs_off_ending_targets(&mut pass, now);
        self.reclaims = pass.kept;
        self.backlog.set_room(pass.room);
    }

    /// Places as many tasks of a step as have room now, and removes them from the step and its
    /// demand; returns their targets.
    fn place_now(
        &mut self,
        waiting: &mut WaitingStep,
        demand: &mut Demand,
        room: &mut Room,
        now: Timestamp,
    ) -> Vec<TargetName> {
        let chosen = self.choose(waiting, demand, room, now);
        for target in &chosen {
            room.occupy(target, demand.resources);
        }
        if !chosen.is_empty() {
            self.start_tasks(waiting, &chosen, now);
            self.reservations.restart(&waiting.group);
        }
        waiting.task_indices.drain(..chosen.len());
        demand.count -= chosen.len();
        chosen
    }

    /// Places the remaining tasks of a step in the room of reservations that admit it.
    fn place_in_reserved_room(
        &mut self,
        waiting: &mut WaitingStep,
        demand: &mut Demand,
        pass: &mut ReclaimPass,
        now: Timestamp,
    ) -> Vec<TargetName> {
        // On a full site most steps end here.
        if demand.count == 0 || !pass.reserved_free.fits(demand.resources) {
            return Vec::new();
        }
        let admitting = pass.reserved.iter();
        let admitting = admitting.filter(|reserved| reserved.admits(waiting, now));
        let admitting: SmallVec<[&ReservedRoom; 4]> = admitting.collect();
        if admitting.is_empty() {
            return Vec::new();
        }
        for reserved in &admitting {
            reserved.release(&mut pass.room);
        }
        let chosen = self.place_now(waiting, demand, &mut pass.room, now);
        for reserved in &admitting {
            reserved.hold(&mut pass.room);
        }
        chosen
    }

    /// Chooses targets for a waiting step among those with room for its tasks now.
    fn choose(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        room: &Room,
        now: Timestamp,
    ) -> Vec<TargetName> {
        let needs_advice = self
            .jobs
            .get(&waiting.step.job)
            .is_some_and(|job| job.rules.advisor.is_some());
        // On a full site most steps end here. A step that needs advice asks for it in any case.
        if !needs_advice && !room.fits(demand.resources) {
            return Vec::new();
        }
        let candidates = self.candidates(waiting, demand, room, Availability::Now, now);
        choose_targets(demand, &candidates)
    }

    /// Returns the room on the targets that may get new tasks.
    fn room(&self, now: Timestamp) -> Room {
        let usable = self.targets.iter().filter(|(_, target)| {
            !target.description.draining
                && self.closure(target).is_none()
                && target.unknown_runs.is_empty()
                && now >= target.quarantined_until
                && now.since(target.last_report_at) <= self.limits.max_report_age
        });
        let mut room =
            Room::new(usable.map(|(name, target)| (name.clone(), target.description.capacity)));
        for active in self.active.values() {
            room.occupy(&active.target.target, active.resources);
        }
        room
    }

    /// Returns the targets that may run tasks of the step, with their available resources.
    pub(crate) fn candidates(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        room: &Room,
        availability: Availability,
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
        // A gang loses the work of all its members by one failure, and a job that has failed may
        // have no further attempt, so other tasks show whether a suspected target works.
        let avoids_suspected =
            (demand.gang || !failed_on.is_empty()) && waiting.waited < MAX_WAIT_FOR_TRUSTED;
        let mut suitable = Vec::new();
        let mut tasks_elsewhere = 0_u64;
        let mut trusted = 0_usize;
        let mut tasks_on_trusted = 0_u64;
        for (name, available) in room.iter(availability) {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            let label = &waiting.description().required_label;
            let capacity = target.description.capacity;
            let fits = target.description.service == service
                && label.as_ref().is_none_or(|label| target.has_label(label))
                && capacity.fits(demand.resources);
            if fits {
                let is_suspected = now < target.suspected_until;
                suitable.push((name, available, is_suspected));
                if !failed_on.contains(name) {
                    // A task that requires no resources fits any number of times.
                    let tasks = capacity.max_count(demand.resources);
                    tasks_elsewhere = tasks_elsewhere.saturating_add(tasks);
                    if !is_suspected {
                        trusted += 1;
                        tasks_on_trusted = tasks_on_trusted.saturating_add(tasks);
                    }
                }
            }
        }
        // A faulty target would use up all attempts of a job, so a task that failed there waits
        // for another target, if any other is large enough.
        let required_tasks = if demand.gang { demand.count } else { 1 };
        let avoids_failed_targets = tasks_elsewhere >= required_tasks as u64;
        // If most targets are suspected, the jobs rather than the targets are at fault.
        let avoids_suspected = avoids_suspected
            && tasks_on_trusted >= required_tasks as u64
            && trusted * 2 >= suitable.len();
        let tasks_here = self.tasks_by_target(waiting);
        let mut candidates = Vec::new();
        for (name, available, is_suspected) in suitable {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            if avoids_failed_targets && failed_on.contains(name) {
                continue;
            }
            if avoids_suspected && is_suspected {
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
                max_tasks: waiting
                    .description()
                    .max_per_target
                    .map_or(usize::MAX, |max_tasks| {
                        let here = tasks_here.get(name).copied().unwrap_or(0);
                        (max_tasks as usize).saturating_sub(here)
                    }),
                failed_here: failed_on.contains(name),
                speed: self.speeds.speed(name).into(),
            });
        }
        candidates
    }

    /// Counts the step's active tasks on each target, if their number there is limited.
    fn tasks_by_target(&self, waiting: &WaitingStep) -> BTreeMap<TargetName, usize> {
        let mut counts = BTreeMap::new();
        if waiting.description().max_per_target.is_some() {
            for (_, active) in self.active.of_step(&waiting.step) {
                *counts.entry(active.target.target.clone()).or_default() += 1;
            }
        }
        counts
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
            if !waiting.description().gang {
                number = job.next_run(&waiting.step, &[index]);
            }
            let task = job.task_id(waiting.step.occurrence, waiting.step.step, index);
            job.place(&task, number, instance.clone());
            let ticket = needs_ticket
                .then(|| self.advisor_tickets.ticket(&waiting.step, target, now))
                .flatten();
            let resources = occupied_resources(waiting.description());
            let active = ActiveRun::placed(instance.clone(), resources, ticket, now);
            self.active.insert(RunId { task, number }, active);
        }
        self.forget_placed_step(&waiting.step);
        self.mark_changed(&waiting.step.job);
        self.record_event(Event::Placed {
            step: waiting.step.clone(),
            number,
            targets: targets.to_vec(),
            waited_ms: u64::try_from(waiting.waited.as_millis()).unwrap_or(u64::MAX),
        });
    }
}
