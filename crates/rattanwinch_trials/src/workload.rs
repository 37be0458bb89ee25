use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rattanwinch_types::GangShape;
use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;

use crate::profile::JobClass;
use crate::profile::OWNERS;
use crate::profile::Profile;
use crate::profile::name;

/// A job of a trial, with the properties that are hidden from the schedulers.
#[derive(Clone, Debug)]
pub(crate) struct TrialJob {
    /// The submitted specification.
    pub spec: JobSpec,
    /// When the job arrives.
    pub arrives_at: Timestamp,
    /// The uninterrupted run time.
    pub run_time: Duration,
    /// The duration of a checkpoint.
    pub checkpoint_time: Duration,
    /// True if the job fails on every worker.
    pub always_fails: bool,
    /// When the caller cancels the job, if it is still queued then.
    pub cancelled_at: Option<Timestamp>,
}

/// A fault or change of a worker or a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The worker goes down; its tasks are lost.
    WorkerDown(usize, usize),
    /// The worker's agent restarts: the worker accepts no tasks, and its running tasks continue.
    WorkerUnresponsive(usize, usize),
    /// The worker is up again.
    WorkerUp(usize, usize),
    /// The executor of the worker fails each task after 5 s from now on.
    ExecutorBroken(usize, usize),
    /// The executor of the worker works again.
    ExecutorRepaired(usize, usize),
    /// Operators close the zone.
    ZoneClosed(usize),
    /// Operators reopen the zone.
    ZoneOpened(usize),
}

/// All events of a trial, generated from a seed.
#[derive(Clone, Debug)]
pub struct Workload {
    pub(crate) jobs: Vec<TrialJob>,
    pub(crate) faults: Vec<(Timestamp, Fault)>,
    /// The zone change, if any: from the closing of a zone to an hour after its reopening.
    pub(crate) zone_change: Option<(Timestamp, Timestamp)>,
}

/// The share of the capacity that jobs request, in per cent.
const LOAD_PERCENT: u64 = 85;

fn log_uniform(rng: &mut ChaCha8Rng, min: f64, max: f64) -> f64 {
    if min >= max {
        return min;
    }
    rng.random_range(min.ln()..max.ln()).exp()
}

fn random_duration(rng: &mut ChaCha8Rng, min: Duration, max: Duration) -> Duration {
    Duration::from_secs_f64(log_uniform(rng, min.as_secs_f64(), max.as_secs_f64()))
}

fn random_time(rng: &mut ChaCha8Rng, arrival_period: Duration) -> Timestamp {
    Timestamp::ZERO + arrival_period.mul_f64(rng.random_range(0.0..1.0))
}

fn pick_weighted<'a, T>(
    rng: &mut ChaCha8Rng,
    choices: &'a [T],
    weight: impl Fn(&T) -> u32,
) -> &'a T {
    let total = choices.iter().map(&weight).sum();
    let mut remaining = rng.random_range(0..total);
    for choice in choices {
        match remaining.checked_sub(weight(choice)) {
            Some(rest) => remaining = rest,
            None => return choice,
        }
    }
    &choices[0]
}

impl Workload {
    /// Generates the events of a trial.
    #[must_use]
    pub fn generate(profile: Profile, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let jobs = generate_jobs(&mut rng, profile);
        let mut faults = worker_faults(&mut rng, profile);
        let mut zone_change = None;
        if profile.zone_sizes().len() > 1 {
            let zone = rng.random_range(0..profile.zone_sizes().len());
            let closed_at = Timestamp::ZERO + profile.arrival_period().mul_f64(0.4);
            let opened_at = closed_at + Duration::from_secs(3 * 3600);
            faults.push((closed_at, Fault::ZoneClosed(zone)));
            faults.push((opened_at, Fault::ZoneOpened(zone)));
            zone_change = Some((closed_at, opened_at + Duration::from_secs(3600)));
        }
        faults.sort_by_key(|(at, _)| *at);
        Self {
            jobs,
            faults,
            zone_change,
        }
    }
}

/// Generates jobs until they request the intended share of the capacity.
///
/// A fifth of the jobs arrive in bursts, half a per cent fail on every worker, and there are two
/// waves of cancellations.
fn generate_jobs(rng: &mut ChaCha8Rng, profile: Profile) -> Vec<TrialJob> {
    let arrival_period = profile.arrival_period();
    let workers: usize = profile.zone_sizes().iter().sum();
    let capacity = 8.0 * workers as f64 * arrival_period.as_secs_f64();
    let wanted = capacity * LOAD_PERCENT as f64 / 100.0;
    let mut jobs = Vec::new();
    let mut requested = 0.0;
    while requested < wanted {
        let at = random_time(rng, arrival_period);
        let burst = if rng.random_ratio(1, 40) {
            rng.random_range(5..20)
        } else {
            1
        };
        for _ in 0..burst {
            let job = generate_job(rng, profile, jobs.len(), at);
            requested += f64::from(job.spec.shape.accelerators()) * job.run_time.as_secs_f64();
            jobs.push(job);
        }
    }
    for _ in 0..2 {
        let wave = random_time(rng, arrival_period);
        for job in &mut jobs {
            let is_recent = wave.since(job.arrives_at) < Duration::from_secs(1800);
            if wave > job.arrives_at && is_recent && rng.random_ratio(1, 2) {
                job.cancelled_at = Some(wave);
            }
        }
    }
    jobs.sort_by_key(|job| job.arrives_at);
    jobs
}

fn generate_job(rng: &mut ChaCha8Rng, profile: Profile, number: usize, at: Timestamp) -> TrialJob {
    let job_class: JobClass =
        *pick_weighted(rng, profile.job_classes(), |job_class| job_class.weight);
    let (min, max) = job_class.tasks;
    let tasks = log_uniform(rng, f64::from(min), f64::from(max) + 0.99);
    let tasks = (min..=max)
        .rev()
        .find(|n| f64::from(*n) <= tasks)
        .unwrap_or(min);
    let run_time = random_duration(rng, job_class.run_time.0, job_class.run_time.1);
    // Declared run times are wrong by a factor of up to ten either way.
    let declared = run_time.mul_f64(log_uniform(rng, 0.1, 10.0));
    let (owner, _) = pick_weighted(rng, &OWNERS, |(_, weight)| *weight);
    let is_urgent = rng.random_ratio(1, 50);
    let spec = JobSpec::builder()
        .key(RequestKey {
            organisation: name(owner),
            id: name(&format!("j{number}")),
        })
        .shape(
            GangShape::new(tasks, job_class.accelerators_per_task, job_class.adjacency)
                .expect("the job classes have valid shapes"),
        )
        .idempotent(true)
        .urgency(if is_urgent {
            Urgency::Urgent
        } else {
            Urgency::Normal
        })
        .deadline(Timestamp::from_millis(u64::MAX))
        .declared_run_time(declared)
        .payload("".into())
        .build();
    TrialJob {
        spec,
        arrives_at: at,
        run_time,
        // About one in twelve checkpoints exceeds the limit of 30 s.
        checkpoint_time: random_duration(rng, Duration::from_secs(1), Duration::from_secs(40)),
        always_fails: rng.random_ratio(1, 200),
        cancelled_at: None,
    }
}

/// Generates failures and restarts at the rates of the two-year fleet: 110 failures and 1,900
/// restarts a day among 5,700 workers. The tasks of a restarting agent continue. In addition, one
/// rack fails, and one worker fails all tasks for 2 h.
fn worker_faults(rng: &mut ChaCha8Rng, profile: Profile) -> Vec<(Timestamp, Fault)> {
    let arrival_period = profile.arrival_period();
    let days = arrival_period.as_secs_f64() / 86_400.0;
    let sizes = profile.zone_sizes();
    let mut faults = Vec::new();
    let mut outage =
        |at: Timestamp, duration: Duration, fault: Fault, (zone, worker): (usize, usize)| {
            faults.push((at, fault));
            faults.push((at + duration, Fault::WorkerUp(zone, worker)));
        };
    for (zone, size) in sizes.iter().enumerate() {
        for worker in 0..*size {
            if rng.random_bool((days * 110.0 / 5700.0).min(1.0)) {
                let duration =
                    random_duration(rng, Duration::from_secs(600), Duration::from_secs(3600));
                let fault = Fault::WorkerDown(zone, worker);
                outage(
                    random_time(rng, arrival_period),
                    duration,
                    fault,
                    (zone, worker),
                );
            }
            if rng.random_bool((days * 1900.0 / 5700.0).min(1.0)) {
                let duration =
                    random_duration(rng, Duration::from_secs(60), Duration::from_secs(300));
                let fault = Fault::WorkerUnresponsive(zone, worker);
                outage(
                    random_time(rng, arrival_period),
                    duration,
                    fault,
                    (zone, worker),
                );
            }
        }
    }
    let at = random_time(rng, arrival_period);
    let zone = rng.random_range(0..sizes.len());
    for worker in 0..3 {
        let fault = Fault::WorkerDown(zone, worker);
        outage(at, Duration::from_secs(1200), fault, (zone, worker));
    }
    let (at, zone) = (
        random_time(rng, arrival_period),
        rng.random_range(0..sizes.len()),
    );
    let worker = rng.random_range(0..sizes[zone]);
    faults.push((at, Fault::ExecutorBroken(zone, worker)));
    let repaired_at = at + Duration::from_secs(7200);
    faults.push((repaired_at, Fault::ExecutorRepaired(zone, worker)));
    faults
}
