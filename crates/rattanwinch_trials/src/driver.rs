use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_decisions::Decision;
use rattanwinch_decisions::JobEnd;
use rattanwinch_decisions::Placement;
use rattanwinch_types::Adjacency;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;

use crate::comparison::SchedulerKind;
use crate::guarantee_waits::GuaranteeWaits;
use crate::guarantee_waits::WaitTrace;
use crate::job_run::JobRun;
use crate::job_run::Stage;
use crate::job_run::job_measures;
use crate::measures::DurationHistogram;
use crate::measures::Measures;
use crate::profile::Profile;
use crate::totals::TrialTotals;
use crate::workload::Fault;
use crate::workload::Workload;
use crate::zone_state::ZoneState;

mod faults;

/// The time from the start of a failing task to its failure.
const FAILURE_DELAY: Duration = Duration::from_secs(5);

/// The time limit of a checkpoint, which is the default of the configuration.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(30);

/// The eviction time of a job whose checkpoint fails: checkpoint limit plus stop limit. Baselines
/// never order a stop, so the driver ends the eviction.
const FAILED_CHECKPOINT_EVICTION_TIME: Duration = Duration::from_secs(35);

/// The maximum time that a trial continues after the last arrival.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(86_400);

#[derive(Clone, Copy, Debug)]
enum Event {
    Fault(Fault),
    JobArrival(usize),
    JobCancellation(usize),
    JobCompletion(usize, u32),
    JobFailure(usize, u32),
    /// The flag is true if the checkpoint succeeded.
    EvictionEnd(usize, u32, bool),
    SchedulerWakeup(usize),
}

struct Driver<'a> {
    profile: Profile,
    workload: &'a Workload,
    zones: Vec<ZoneState>,
    runs: Vec<JobRun>,
    by_key: BTreeMap<RequestKey, usize>,
    events: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    now: Timestamp,
    totals: TrialTotals,
    guarantee_waits: GuaranteeWaits,
    urgent_waits: DurationHistogram,
    last_success: Timestamp,
}

/// Runs one scheduler on the events of a workload.
#[must_use]
pub fn run_trial(profile: Profile, workload: &Workload, kind: SchedulerKind) -> Measures {
    let mut driver = Driver::new(profile, workload, kind);
    driver.run();
    driver.measures()
}

/// Runs the policy on the events of a workload; returns the waits within guarantees that exceeded
/// the limit.
#[must_use]
pub fn trace_waits(profile: Profile, workload: &Workload) -> Vec<WaitTrace> {
    let mut driver = Driver::new(profile, workload, SchedulerKind::Policy);
    driver.run();
    driver.guarantee_waits.over_limit
}

impl<'a> Driver<'a> {
    fn new(profile: Profile, workload: &'a Workload, kind: SchedulerKind) -> Self {
        let zones = profile.zones().into_iter().zip(profile.workers());
        let zones = zones.map(|(name, workers)| {
            let mut zone = ZoneState::new(kind.build(profile, &name, &workers), workers);
            for worker in &zone.workers {
                zone.scheduler.worker_up(worker.clone(), Timestamp::ZERO);
            }
            zone
        });
        let keys = workload.jobs.iter().enumerate();
        let mut driver = Self {
            profile,
            workload,
            zones: zones.collect(),
            runs: vec![JobRun::new(); workload.jobs.len()],
            by_key: keys
                .map(|(index, job)| (job.spec.key.clone(), index))
                .collect(),
            events: BTreeMap::new(),
            sequence: 0,
            now: Timestamp::ZERO,
            totals: TrialTotals::default(),
            guarantee_waits: GuaranteeWaits::new(),
            urgent_waits: DurationHistogram::new(),
            last_success: Timestamp::ZERO,
        };
        for (at, fault) in &workload.faults {
            driver.push(*at, Event::Fault(*fault));
        }
        for (index, job) in workload.jobs.iter().enumerate() {
            driver.push(job.arrives_at, Event::JobArrival(index));
            if let Some(at) = job.cancelled_at {
                driver.push(at, Event::JobCancellation(index));
            }
        }
        driver
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn run(&mut self) {
        let end = Timestamp::ZERO + self.profile.arrival_period() + MAX_DRAIN_TIME;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                return;
            }
            let interval = (self.now, at);
            let change = self.workload.zone_change;
            let runs = &self.runs;
            let has_started =
                |index: &usize| matches!(runs[*index].stage, Stage::Running | Stage::Evicting);
            let started = || (0..runs.len()).filter(has_started).collect();
            self.totals.add_interval(
                &mut self.zones,
                &self.workload.jobs,
                interval,
                change,
                started,
            );
            self.now = at;
            self.handle(event);
            for zone in 0..self.zones.len() {
                self.decide(zone);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fault(fault) => self.apply_fault(fault),
            Event::JobArrival(index) => self.submit(index),
            Event::JobCancellation(index) => {
                if self.runs[index].stage == Stage::Queued {
                    self.remove_from_queue(index);
                    self.finish(index, false);
                }
            }
            Event::JobCompletion(index, attempt) if self.runs[index].attempt == attempt => {
                if self.runs[index].stage == Stage::Running {
                    self.release(index, JobEnd::Succeeded);
                    self.finish(index, true);
                }
            }
            Event::JobFailure(index, attempt) if self.runs[index].attempt == attempt => {
                if self.runs[index].stage == Stage::Running {
                    self.fail(index);
                }
            }
            Event::EvictionEnd(index, attempt, is_saved) if self.runs[index].attempt == attempt => {
                if self.runs[index].stage == Stage::Evicting {
                    self.finish_eviction(index, is_saved);
                }
            }
            Event::SchedulerWakeup(zone) => self.zones[zone].wake_at = None,
            Event::JobCompletion(..) | Event::JobFailure(..) | Event::EvictionEnd(..) => {}
        }
    }

    /// Returns the zones in the order in which a job is submitted to them.
    ///
    /// Open zones come first, by free accelerators minus those requested by queued jobs.
    fn zone_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.zones.len()).collect();
        let spare = |zone: &ZoneState| {
            i64::from(zone.map.free()) - i64::from(zone.requested_accelerators(&self.workload.jobs))
        };
        order.sort_by_key(|zone| {
            let zone_state = &self.zones[*zone];
            (zone_state.is_closed, -spare(zone_state))
        });
        order
    }

    fn submit(&mut self, index: usize) {
        let spec = &self.workload.jobs[index].spec;
        for zone in self.zone_order() {
            let fits_guarantee = self.fits_guarantee(index, zone);
            if self.zones[zone]
                .scheduler
                .submit(spec.clone(), self.now)
                .is_ok()
            {
                self.zones[zone].queued.insert(index);
                self.zones[zone].invalidate_fragmentation();
                let run = &mut self.runs[index];
                run.zone = zone;
                run.stage = Stage::Queued;
                if fits_guarantee {
                    self.guarantee_waits
                        .begin((index, spec), zone, run.failures, self.now);
                }
                return;
            }
        }
        self.finish(index, false);
    }

    /// Returns true if the job fits the unused part of its owner's guarantee in the zone, with
    /// separate blocks for each of the owner's jobs there.
    fn fits_guarantee(&self, index: usize, zone: usize) -> bool {
        let spec = &self.workload.jobs[index].spec;
        let owner = &spec.key.organisation;
        let (blocks, size) = self.profile.guarantee_of(owner);
        let fits_block = spec.shape.accelerators() <= size
            && (size <= 24 || spec.shape.adjacency() == Adjacency::Zone);
        let present = self.runs.iter().zip(&self.workload.jobs);
        let used: u32 = present
            .filter(|(run, job)| {
                run.stage != Stage::Absent
                    && run.zone == zone
                    && job.spec.key.organisation == *owner
            })
            .map(|(_, job)| job.spec.shape.accelerators().div_ceil(size.max(1)))
            .sum();
        fits_block && used < blocks && !self.zones[zone].is_closed
    }

    fn remove_from_queue(&mut self, index: usize) {
        let zone = &mut self.zones[self.runs[index].zone];
        zone.scheduler
            .cancel(&self.workload.jobs[index].spec.key, self.now);
        zone.queued.remove(&index);
        zone.invalidate_fragmentation();
        self.runs[index].stage = Stage::Absent;
        self.guarantee_waits.end(index, self.now);
    }

    fn finish(&mut self, index: usize, is_success: bool) {
        self.runs[index].stage = Stage::Absent;
        self.runs[index].ended = Some((self.now, is_success));
        if is_success {
            let job = &self.workload.jobs[index];
            let millis = job.run_time.as_secs_f64() * 1000.0;
            self.totals.completed_ms += f64::from(job.spec.shape.accelerators()) * millis;
            self.last_success = self.now;
        }
    }

    /// Ends a started job and releases its accelerators.
    fn release(&mut self, index: usize, end: JobEnd) {
        let spec = &self.workload.jobs[index].spec;
        let run = &mut self.runs[index];
        let zone = &mut self.zones[run.zone];
        if run.stage == Stage::Running {
            zone.running_accelerators -= spec.shape.accelerators();
        }
        run.stage = Stage::Absent;
        zone.map.release(&run.placement);
        zone.scheduler.ended(&spec.key, end, self.now);
        zone.invalidate_fragmentation();
    }

    /// Counts the work of the job since its last start as lost.
    fn count_lost_progress(&mut self, index: usize, to_eviction: bool) {
        let lost = self.now.since(self.runs[index].started_at);
        let accelerators = self.workload.jobs[index].spec.shape.accelerators();
        self.totals.add_lost_work(accelerators, lost, to_eviction);
        if let Some((start, end)) = self.workload.zone_change
            && self.now >= start
            && self.now <= end
        {
            let in_time = lost.min(self.now.since(start));
            self.totals.subtract_lost_work(accelerators, in_time);
        }
    }

    fn finish_eviction(&mut self, index: usize, is_saved: bool) {
        if !is_saved {
            self.count_lost_progress(index, true);
        }
        self.release(index, JobEnd::Evicted);
        self.submit(index);
    }

    fn decide(&mut self, zone: usize) {
        loop {
            let decisions = self.zones[zone].scheduler.decide(self.now);
            let has_more = decisions
                .iter()
                .any(|one| matches!(one, Decision::Start { .. }));
            for decision in decisions {
                self.apply_decision(zone, decision);
            }
            if !has_more {
                break;
            }
        }
        for (index, key) in self.guarantee_waits.waiting_in(zone) {
            let scheduler = &self.zones[zone].scheduler;
            if let Some(reason) = scheduler.wait_reason(&key) {
                let status = scheduler.guarantee_status(&key.organisation);
                self.guarantee_waits
                    .record_reason(index, reason, status, self.now);
            }
        }
        let wakeup = self.zones[zone].scheduler.next_wakeup(self.now);
        let earliest = self.zones[zone].wake_at;
        if let Some(at) = wakeup
            && earliest.is_none_or(|known| at < known)
        {
            let at = at.max(self.now + Duration::from_millis(1));
            self.zones[zone].wake_at = Some(at);
            self.push(at, Event::SchedulerWakeup(zone));
        }
    }

    fn apply_decision(&mut self, zone: usize, decision: Decision) {
        match decision {
            Decision::Start { key, placement, .. } => self.start(zone, &key, placement),
            Decision::Evict { key, mode, .. } => self.evict(self.by_key[&key], mode),
            Decision::Refuse { key, .. } => {
                let index = self.by_key[&key];
                self.zones[zone].queued.remove(&index);
                self.zones[zone].invalidate_fragmentation();
                self.guarantee_waits.end(index, self.now);
                self.finish(index, false);
            }
        }
    }

    fn start(&mut self, zone: usize, key: &RequestKey, placement: Placement) {
        let index = self.by_key[key];
        let job = &self.workload.jobs[index];
        let zone_state = &mut self.zones[zone];
        zone_state.queued.remove(&index);
        zone_state.map.take(&placement);
        zone_state.running_accelerators += job.spec.shape.accelerators();
        zone_state.scheduler.started(key, self.now);
        zone_state.invalidate_fragmentation();
        let is_faulty = |target: &TargetName| {
            let position = zone_state
                .workers
                .iter()
                .position(|worker| worker.target == *target);
            position.is_some_and(|worker| zone_state.faulty[worker])
        };
        let fails = job.always_fails || placement.tasks.iter().any(|task| is_faulty(&task.target));
        let run = &mut self.runs[index];
        self.guarantee_waits.end(index, self.now);
        if !run.has_started && job.spec.urgency == Urgency::Urgent {
            self.urgent_waits.record(self.now.since(job.arrives_at));
        }
        run.stage = Stage::Running;
        run.attempt += 1;
        run.has_started = true;
        run.started_at = self.now;
        run.placement = placement;
        let (attempt, left) = (run.attempt, job.run_time.saturating_sub(run.saved_progress));
        if fails {
            self.push(self.now + FAILURE_DELAY, Event::JobFailure(index, attempt));
        } else {
            self.push(self.now + left, Event::JobCompletion(index, attempt));
        }
    }

    fn evict(&mut self, index: usize, mode: StopMode) {
        let (stage, attempt) = (self.runs[index].stage, self.runs[index].attempt);
        if mode == StopMode::Stop && stage == Stage::Evicting {
            let at = self.now + Duration::from_secs(1);
            self.push(at, Event::EvictionEnd(index, attempt, false));
        }
        if stage != Stage::Running {
            return;
        }
        let job = &self.workload.jobs[index];
        let accelerators = job.spec.shape.accelerators();
        let run = &mut self.runs[index];
        run.stage = Stage::Evicting;
        self.zones[run.zone].running_accelerators -= accelerators;
        self.totals.evictions += 1;
        if job.checkpoint_time <= CHECKPOINT_TIMEOUT {
            run.saved_progress += self.now.since(run.started_at);
            self.totals
                .add_lost_work(accelerators, job.checkpoint_time, true);
            let at = self.now + job.checkpoint_time;
            self.push(at, Event::EvictionEnd(index, attempt, true));
        } else {
            let at = self.now + FAILED_CHECKPOINT_EVICTION_TIME;
            self.push(at, Event::EvictionEnd(index, attempt, false));
        }
    }

    fn measures(&self) -> Measures {
        let end = Timestamp::ZERO + self.profile.arrival_period() + MAX_DRAIN_TIME;
        let measures = job_measures(&self.runs, &self.workload.jobs, end);
        let capacity: u32 = self
            .zones
            .iter()
            .map(|zone| zone.map.with_full_capacity().capacity())
            .sum();
        let offered_ms = self.last_success.as_millis() as f64 * f64::from(capacity);
        Measures {
            fragmentation: self.totals.fragmentation(),
            unusable_of_capacity: self.totals.unusable(),
            zone_change_useful: self.totals.zone_change.shares().useful,
            zone_change: self.totals.zone_change.shares(),
            guarantee_wait_s: self.guarantee_waits.times.percentiles(),
            guarantee_wait_max_s: self.guarantee_waits.times.max(),
            urgent_wait_s: self.urgent_waits.percentiles(),
            eviction_lost_h: self.totals.eviction_lost_h(),
            evictions: self.totals.evictions,
            failure_lost_h: self.totals.failure_lost_h(),
            utilisation: self.totals.completed_ms / offered_ms.max(1.0),
            violations: self
                .zones
                .iter()
                .map(|zone| zone.scheduler.violations())
                .sum(),
            ..measures
        }
    }
}
