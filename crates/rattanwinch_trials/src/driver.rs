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

use crate::accounts::Accounts;
use crate::comparison::SchedulerKind;
use crate::guarantee_waits::GuaranteeWaits;
use crate::guarantee_waits::WaitTrace;
use crate::job_run::JobRun;
use crate::job_run::Stage;
use crate::job_run::job_measures;
use crate::measures::Measures;
use crate::measures::Times;
use crate::profile::Profile;
use crate::workload::Fault;
use crate::workload::Workload;
use crate::zone_run::ZoneRun;

mod faults;

/// A failing task fails this long after its start.
const FAILS_AFTER: Duration = Duration::from_secs(5);

/// The longest checkpoint that succeeds; the default of the configuration.
const CHECKPOINT_LIMIT: Duration = Duration::from_secs(30);

/// A baseline has no order to stop; its hung checkpoints end like the policy's longest.
const CHECKPOINT_AND_STOP: Duration = Duration::from_secs(35);

/// How long the trial goes on after the last arrival.
const AFTERMATH: Duration = Duration::from_secs(86_400);

#[derive(Clone, Copy, Debug)]
enum Event {
    Fault(Fault),
    Arrives(usize),
    IsCancelled(usize),
    Finishes(usize, u32),
    Fails(usize, u32),
    /// The flag tells whether the progress was saved.
    IsEvicted(usize, u32, bool),
    Wake(usize),
}

struct Driver<'a> {
    profile: Profile,
    workload: &'a Workload,
    zones: Vec<ZoneRun>,
    runs: Vec<JobRun>,
    by_key: BTreeMap<RequestKey, usize>,
    events: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    now: Timestamp,
    accounts: Accounts,
    guarantee_waits: GuaranteeWaits,
    urgent_waits: Times,
    last_success: Timestamp,
}

/// Runs one scheduler on the events.
#[must_use]
pub fn run_trial(profile: Profile, workload: &Workload, kind: SchedulerKind) -> Measures {
    let mut driver = Driver::new(profile, workload, kind);
    driver.run();
    driver.measures()
}

/// Runs the policy on the events and returns the waits within guarantees that exceeded the
/// stated time.
#[must_use]
pub fn trace_waits(profile: Profile, workload: &Workload) -> Vec<WaitTrace> {
    let mut driver = Driver::new(profile, workload, SchedulerKind::Policy);
    driver.run();
    driver.guarantee_waits.overlong
}

impl<'a> Driver<'a> {
    fn new(profile: Profile, workload: &'a Workload, kind: SchedulerKind) -> Self {
        let zones = profile.zones().into_iter().zip(profile.workers());
        let zones = zones.map(|(name, workers)| {
            let mut zone = ZoneRun::new(kind.build(profile, &name, &workers), workers);
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
            accounts: Accounts::default(),
            guarantee_waits: GuaranteeWaits::new(),
            urgent_waits: Times::new(),
            last_success: Timestamp::ZERO,
        };
        for (at, fault) in &workload.faults {
            driver.push(*at, Event::Fault(*fault));
        }
        for (index, job) in workload.jobs.iter().enumerate() {
            driver.push(job.arrives_at, Event::Arrives(index));
            if let Some(at) = job.cancelled_at {
                driver.push(at, Event::IsCancelled(index));
            }
        }
        driver
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn run(&mut self) {
        let end = Timestamp::ZERO + self.profile.span() + AFTERMATH;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                return;
            }
            let span = (self.now, at);
            let change = self.workload.zone_change;
            let runs = &self.runs;
            let has_started =
                |index: &usize| matches!(runs[*index].stage, Stage::Running | Stage::Leaving);
            let started = || (0..runs.len()).filter(has_started).collect();
            self.accounts
                .pass(&mut self.zones, &self.workload.jobs, span, change, started);
            self.now = at;
            self.handle(event);
            for zone in 0..self.zones.len() {
                self.decide(zone);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fault(fault) => self.apply(fault),
            Event::Arrives(index) => self.submit(index),
            Event::IsCancelled(index) => {
                if self.runs[index].stage == Stage::Queued {
                    self.unqueue(index);
                    self.finish(index, false);
                }
            }
            Event::Finishes(index, attempt) if self.runs[index].attempt == attempt => {
                if self.runs[index].stage == Stage::Running {
                    self.release(index, JobEnd::Succeeded);
                    self.finish(index, true);
                }
            }
            Event::Fails(index, attempt) if self.runs[index].attempt == attempt => {
                if self.runs[index].stage == Stage::Running {
                    self.fail(index);
                }
            }
            Event::IsEvicted(index, attempt, is_saved) if self.runs[index].attempt == attempt => {
                if self.runs[index].stage == Stage::Leaving {
                    self.complete_eviction(index, is_saved);
                }
            }
            Event::Wake(zone) => self.zones[zone].wake_at = None,
            Event::Finishes(..) | Event::Fails(..) | Event::IsEvicted(..) => {}
        }
    }

    /// The zone for a job: an open one with the most free accelerators for each that is asked
    /// for. A closed one takes it if it fits no open one.
    fn zone_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.zones.len()).collect();
        let room = |zone: &ZoneRun| {
            i64::from(zone.map.free()) - i64::from(zone.asked(&self.workload.jobs))
        };
        order.sort_by_key(|zone| {
            let run = &self.zones[*zone];
            (run.is_closed, -room(run))
        });
        order
    }

    fn submit(&mut self, index: usize) {
        let spec = &self.workload.jobs[index].spec;
        for zone in self.zone_order() {
            let is_entitled = self.is_entitled(index, zone);
            if self.zones[zone]
                .scheduler
                .submit(spec.clone(), self.now)
                .is_ok()
            {
                self.zones[zone].queued.insert(index);
                self.zones[zone].touch();
                let run = &mut self.runs[index];
                run.zone = zone;
                run.stage = Stage::Queued;
                if is_entitled {
                    self.guarantee_waits
                        .begin((index, spec), zone, run.failures, self.now);
                }
                return;
            }
        }
        self.finish(index, false);
    }

    /// Whether the job fits the unused part of its owner's guarantee in the zone, if each of the
    /// owner's jobs there uses blocks of its own.
    fn is_entitled(&self, index: usize, zone: usize) -> bool {
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

    fn unqueue(&mut self, index: usize) {
        let zone = &mut self.zones[self.runs[index].zone];
        zone.scheduler
            .cancel(&self.workload.jobs[index].spec.key, self.now);
        zone.queued.remove(&index);
        zone.touch();
        self.runs[index].stage = Stage::Absent;
        self.guarantee_waits.end(index, self.now);
    }

    fn finish(&mut self, index: usize, is_success: bool) {
        self.runs[index].stage = Stage::Absent;
        self.runs[index].ended = Some((self.now, is_success));
        if is_success {
            let job = &self.workload.jobs[index];
            let millis = job.run_time.as_secs_f64() * 1000.0;
            self.accounts.completed_ms += f64::from(job.spec.shape.accelerators()) * millis;
            self.last_success = self.now;
        }
    }

    /// Takes a started job off its accelerators.
    fn release(&mut self, index: usize, end: JobEnd) {
        let spec = &self.workload.jobs[index].spec;
        let run = &mut self.runs[index];
        let zone = &mut self.zones[run.zone];
        if run.stage == Stage::Running {
            zone.running -= spec.shape.accelerators();
        }
        run.stage = Stage::Absent;
        zone.map.give_back(&run.placement);
        zone.scheduler.ended(&spec.key, end, self.now);
        zone.touch();
    }

    /// Counts what the job did since its last start as lost.
    fn lose_progress(&mut self, index: usize, to_eviction: bool) {
        let lost = self.now.since(self.runs[index].started_at);
        let accelerators = self.workload.jobs[index].spec.shape.accelerators();
        self.accounts.lose(accelerators, lost, to_eviction);
        if let Some((start, end)) = self.workload.zone_change
            && self.now >= start
            && self.now <= end
        {
            let in_time = lost.min(self.now.since(start));
            self.accounts.discount(accelerators, in_time);
        }
    }

    fn complete_eviction(&mut self, index: usize, is_saved: bool) {
        if !is_saved {
            self.lose_progress(index, true);
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
                self.carry_out(zone, decision);
            }
            if !has_more {
                break;
            }
        }
        for (index, key) in self.guarantee_waits.waiting(zone) {
            let scheduler = &self.zones[zone].scheduler;
            if let Some(reason) = scheduler.wait_reason(&key) {
                let status = scheduler.guarantee_status(&key.organisation);
                self.guarantee_waits.note(index, reason, status, self.now);
            }
        }
        let wakeup = self.zones[zone].scheduler.next_wakeup(self.now);
        let earliest = self.zones[zone].wake_at;
        if let Some(at) = wakeup
            && earliest.is_none_or(|known| at < known)
        {
            let at = at.max(self.now + Duration::from_millis(1));
            self.zones[zone].wake_at = Some(at);
            self.push(at, Event::Wake(zone));
        }
    }

    fn carry_out(&mut self, zone: usize, decision: Decision) {
        match decision {
            Decision::Start { key, placement, .. } => self.start(zone, &key, placement),
            Decision::Evict { key, mode, .. } => self.evict(self.by_key[&key], mode),
            Decision::Refuse { key, .. } => {
                let index = self.by_key[&key];
                self.zones[zone].queued.remove(&index);
                self.zones[zone].touch();
                self.guarantee_waits.end(index, self.now);
                self.finish(index, false);
            }
        }
    }

    fn start(&mut self, zone: usize, key: &RequestKey, placement: Placement) {
        let index = self.by_key[key];
        let job = &self.workload.jobs[index];
        let place = &mut self.zones[zone];
        place.queued.remove(&index);
        place.map.take(&placement);
        place.running += job.spec.shape.accelerators();
        place.scheduler.started(key, self.now);
        place.touch();
        let is_broken = |target: &TargetName| {
            let position = place
                .workers
                .iter()
                .position(|worker| worker.target == *target);
            position.is_some_and(|worker| place.broken[worker])
        };
        let fails = job.is_faulty || placement.tasks.iter().any(|task| is_broken(&task.target));
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
        let (attempt, left) = (run.attempt, job.run_time.saturating_sub(run.saved));
        if fails {
            self.push(self.now + FAILS_AFTER, Event::Fails(index, attempt));
        } else {
            self.push(self.now + left, Event::Finishes(index, attempt));
        }
    }

    fn evict(&mut self, index: usize, mode: StopMode) {
        let (stage, attempt) = (self.runs[index].stage, self.runs[index].attempt);
        if mode == StopMode::Stop && stage == Stage::Leaving {
            let at = self.now + Duration::from_secs(1);
            self.push(at, Event::IsEvicted(index, attempt, false));
        }
        if stage != Stage::Running {
            return;
        }
        let job = &self.workload.jobs[index];
        let accelerators = job.spec.shape.accelerators();
        let run = &mut self.runs[index];
        run.stage = Stage::Leaving;
        self.zones[run.zone].running -= accelerators;
        self.accounts.evictions += 1;
        if job.checkpoint_time <= CHECKPOINT_LIMIT {
            run.saved += self.now.since(run.started_at);
            self.accounts.lose(accelerators, job.checkpoint_time, true);
            let at = self.now + job.checkpoint_time;
            self.push(at, Event::IsEvicted(index, attempt, true));
        } else {
            let at = self.now + CHECKPOINT_AND_STOP;
            self.push(at, Event::IsEvicted(index, attempt, false));
        }
    }

    fn measures(&self) -> Measures {
        let end = Timestamp::ZERO + self.profile.span() + AFTERMATH;
        let measures = job_measures(&self.runs, &self.workload.jobs, end);
        let capacity: u32 = self
            .zones
            .iter()
            .map(|zone| zone.map.emptied().capacity())
            .sum();
        let offered_ms = self.last_success.as_millis() as f64 * f64::from(capacity);
        Measures {
            fragmentation: self.accounts.fragmentation(),
            unusable_of_capacity: self.accounts.unusable(),
            zone_change_useful: self.accounts.zone_change.shares().useful,
            zone_change: self.accounts.zone_change.shares(),
            guarantee_wait_s: self.guarantee_waits.times.percentiles(),
            guarantee_wait_max_s: self.guarantee_waits.times.max(),
            urgent_wait_s: self.urgent_waits.percentiles(),
            eviction_lost_h: self.accounts.eviction_lost_h(),
            evictions: self.accounts.evictions,
            failure_lost_h: self.accounts.failure_lost_h(),
            utilisation: self.accounts.completed_ms / offered_ms.max(1.0),
            violations: self
                .zones
                .iter()
                .map(|zone| zone.scheduler.violations())
                .sum(),
            ..measures
        }
    }
}
