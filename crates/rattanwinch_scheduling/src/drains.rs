//! Runs on draining targets that state when they end.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::Event;
use crate::Scheduler;
use crate::StepDescription;
use crate::active_runs::DesiredState;
use crate::placement::Candidate;
use crate::placement::Demand;
use crate::placement::choose_targets;
use crate::preemption::ReclaimPass;
use crate::preemption::START_MARGIN;
use crate::room::Availability;
use crate::room::Room;
use crate::run_set::RESTORE_TIME;
use crate::run_set::RunSet;
use crate::run_set::lost_work;
use crate::target_speeds::SpeedPreference;

/// An expected remaining time may be too long by a tenth, since progress is listed in whole per
/// cent and extrapolated from a fifth of the run.
const REMAINING_TIME_ERROR: u32 = 10;

/// The runs of a task or a gang, some of them on a target that is about to end.
struct Departure<'a> {
    set: &'a RunSet,
    /// The target that ends first.
    target: TargetName,
    leaves_at: Timestamp,
    /// The runs are being stopped already; the room elsewhere is for them first.
    is_stopping: bool,
}

impl Scheduler {
    /// Stops runs that can't end before their target does, in time to save their state and to be
    /// placed elsewhere.
    ///
    /// Called at the end of a placement pass, so that runs are stopped only for room that waiting
    /// steps have left free.
    pub(crate) fn move_runs_off_ending_targets(&mut self, pass: &mut ReclaimPass, now: Timestamp) {
        let ending = self.ending_targets();
        if ending.is_empty() {
            return;
        }
        let sets = pass
            .sets
            .take()
            .unwrap_or_else(|| self.run_sets(&pass.awaited, now, pass.wall));
        let mut departures: Vec<Departure<'_>> = sets
            .iter()
            .filter_map(|set| self.departure(set, &ending))
            .collect();
        departures.sort_by_key(|departure| {
            let is_running = !departure.is_stopping;
            (is_running, departure.set.priority, departure.leaves_at)
        });
        for departure in departures {
            let fits = self.take_room_elsewhere(departure.set, &mut pass.room);
            if !departure.is_stopping && self.must_stop(&departure, fits, now) {
                self.stop_departing(&departure, now);
            }
        }
        pass.sets = Some(sets);
    }

    /// Returns the draining targets that have stated when they end.
    fn ending_targets(&self) -> BTreeMap<TargetName, Timestamp> {
        let draining = self.targets.iter();
        let draining = draining.filter(|(_, target)| target.description.draining);
        draining
            .filter_map(|(name, target)| Some((name.clone(), target.leaves_at?)))
            .collect()
    }

    fn departure<'a>(
        &self,
        set: &'a RunSet,
        ending: &BTreeMap<TargetName, Timestamp>,
    ) -> Option<Departure<'a>> {
        let targets = set.resources.iter();
        let leaving = targets.filter_map(|(target, _)| Some((*ending.get(target)?, target)));
        let (leaves_at, target) = leaving.min()?;
        let is_running = set.runs.iter().any(|run| {
            let active = self.active.get(run);
            active.is_some_and(|active| active.desired() == DesiredState::Run)
        });
        Some(Departure {
            set,
            target: target.clone(),
            leaves_at,
            is_stopping: !is_running,
        })
    }

    /// Takes room for the runs on targets that stay, if all of them fit there.
    fn take_room_elsewhere(&self, set: &RunSet, room: &mut Room) -> bool {
        let Some(job) = self.jobs.get(&set.step.job) else {
            return false;
        };
        let Some(step) = job.step(set.step.step) else {
            return false;
        };
        let Some(resources) = set
            .runs
            .first()
            .and_then(|run| self.active.get(run))
            .map(|active| active.resources)
        else {
            return false;
        };
        let demand = Demand {
            resources,
            count: set.runs.len(),
            gang: step.gang,
            same_rack: step.same_rack,
            data_rack: step.data_rack.clone(),
            any_rack: true,
            speed: SpeedPreference::Any,
        };
        let mut candidates = Vec::new();
        for (name, free) in room.iter(Availability::Now) {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            let label = &step.required_label;
            if target.description.service != job.rules.service
                || label.as_ref().is_some_and(|label| !target.has_label(label))
            {
                continue;
            }
            // A gang's members on targets that stay end as well.
            let own = set.resources.iter().find(|(own, _)| own == name);
            let free = own.map_or(free, |(_, resources)| free.plus(*resources));
            if free.fits(demand.resources) {
                candidates.push(Candidate {
                    name: name.clone(),
                    rack: target.rack().cloned(),
                    free,
                    max_tasks: max_tasks(step),
                    failed_here: false,
                    speed: self.speeds.speed(name).into(),
                });
            }
        }
        let chosen = choose_targets(&demand, &candidates);
        if chosen.len() < demand.count {
            return false;
        }
        for target in &chosen {
            room.occupy(target, demand.resources);
        }
        true
    }

    /// Returns true if the runs are stopped now. `fits` tells whether they fit elsewhere.
    fn must_stop(&self, departure: &Departure<'_>, fits: bool, now: Timestamp) -> bool {
        let set = departure.set;
        let Some(remaining) = set.expected_remaining else {
            return fits && self.may_evict_set(set);
        };
        let time_left = departure.leaves_at.since(now);
        if remaining.saturating_sub(remaining / REMAINING_TIME_ERROR) <= time_left {
            return false;
        }
        let stop_time = self.limits.max_stop_time + START_MARGIN;
        if time_left <= stop_time {
            // A run that ends with its target counts as running for as long as its lease may last.
            return true;
        }
        fits && !self.gains_by_going_on(set, time_left.saturating_sub(stop_time), now)
    }

    /// Returns true if the runs save more work at a stop after `time` than restoring it takes.
    /// Until then they use a target that gets no other work.
    fn gains_by_going_on(&self, set: &RunSet, time: Duration, now: Timestamp) -> bool {
        if !self.step(&set.step).is_some_and(|step| step.checkpointing) {
            return false;
        }
        let started = set.runs.iter().map(|run| self.active.get(run)?.started_at);
        // A gang works once its last member has started.
        let last = started.reduce(|last, next| Some(last?.max(next?)));
        last.flatten()
            .is_some_and(|last| now.since(last).saturating_add(time) > RESTORE_TIME)
    }

    /// Returns true if the step of serving runs allows them to be unavailable.
    fn may_evict_set(&self, set: &RunSet) -> bool {
        set.available_runs == 0
            || self
                .allowed_evictions(&set.step)
                .is_none_or(|left| left >= set.available_runs)
    }

    fn stop_departing(&mut self, departure: &Departure<'_>, now: Timestamp) {
        let set = departure.set;
        let checkpointing = self.step(&set.step).is_some_and(|step| step.checkpointing);
        let mut lost_core_ms = 0_u64;
        for run in &set.runs {
            if let Some(active) = self.active.get(run)
                && active.desired() == DesiredState::Run
            {
                lost_core_ms = lost_core_ms.saturating_add(lost_work(active, checkpointing, now));
                self.active.stop(run);
            }
        }
        let leaves_in = departure.leaves_at.since(now);
        self.record_event(Event::Moved {
            runs: set.runs.clone(),
            target: departure.target.clone(),
            leaves_in_ms: u64::try_from(leaves_in.as_millis()).unwrap_or(u64::MAX),
            lost_core_ms,
        });
    }
}

fn max_tasks(step: &StepDescription) -> usize {
    step.max_per_target
        .map_or(usize::MAX, |max_tasks| max_tasks as usize)
}
