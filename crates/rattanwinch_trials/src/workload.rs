use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rattanwinch_types::GangShape;
use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;

use crate::profile::JobMix;
use crate::profile::OWNERS;
use crate::profile::Profile;
use crate::profile::name;

/// One job of a trial and what the schedulers can't know of it.
#[derive(Clone, Debug)]
pub(crate) struct TrialJob {
    /// What is submitted.
    pub spec: JobSpec,
    /// When.
    pub arrives_at: Timestamp,
    /// How long it runs if nothing disturbs it.
    pub run_time: Duration,
    /// How long its checkpoint takes.
    pub checkpoint_time: Duration,
    /// Whether the job fails wherever it runs.
    pub is_faulty: bool,
    /// When its caller cancels it, if it is still queued then.
    pub cancelled_at: Option<Timestamp>,
}

/// Something that happens to workers and zones.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The worker goes down; its tasks are lost.
    WorkerDown(usize, usize),
    /// The worker's agent restarts: the worker takes no tasks, and those it has go on.
    WorkerSilent(usize, usize),
    /// The worker is back.
    WorkerUp(usize, usize),
    /// From now on the worker fails each task after 5 s.
    ExecutorBroken(usize, usize),
    /// The worker's executor works again.
    ExecutorRepaired(usize, usize),
    /// Operators close the zone.
    ZoneClosed(usize),
    /// Operators open the zone.
    ZoneOpened(usize),
}

/// All events of one trial, drawn from a seed.
#[derive(Clone, Debug)]
pub struct Workload {
    pub(crate) jobs: Vec<TrialJob>,
    pub(crate) faults: Vec<(Timestamp, Fault)>,
    /// The zone change, if there is one: from its closing to an hour after its opening.
    pub(crate) zone_change: Option<(Timestamp, Timestamp)>,
}

/// The share of the capacity that jobs ask for, in percent.
const LOAD_PERCENT: u64 = 85;

fn log_uniform(rng: &mut ChaCha8Rng, low: f64, high: f64) -> f64 {
    if low >= high {
        return low;
    }
    rng.random_range(low.ln()..high.ln()).exp()
}

fn seconds(rng: &mut ChaCha8Rng, low: Duration, high: Duration) -> Duration {
    Duration::from_secs_f64(log_uniform(rng, low.as_secs_f64(), high.as_secs_f64()))
}

fn moment(rng: &mut ChaCha8Rng, span: Duration) -> Timestamp {
    Timestamp::ZERO + span.mul_f64(rng.random_range(0.0..1.0))
}

fn pick<'a, T>(rng: &mut ChaCha8Rng, choices: &'a [T], weight: impl Fn(&T) -> u32) -> &'a T {
    let total = choices.iter().map(&weight).sum();
    let mut draw = rng.random_range(0..total);
    for choice in choices {
        match draw.checked_sub(weight(choice)) {
            Some(rest) => draw = rest,
            None => return choice,
        }
    }
    &choices[0]
}

impl Workload {
    /// Draws the events.
    #[must_use]
    pub fn draw(profile: Profile, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let jobs = draw_jobs(&mut rng, profile);
        let mut faults = worker_faults(&mut rng, profile);
        let mut zone_change = None;
        if profile.zone_sizes().len() > 1 {
            let zone = rng.random_range(0..profile.zone_sizes().len());
            let closed_at = Timestamp::ZERO + profile.span().mul_f64(0.4);
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

/// Draws jobs until they ask for the intended share of the capacity. A fifth of them come in
/// bursts, half a percent fail wherever they run, and two waves of cancellations come.
fn draw_jobs(rng: &mut ChaCha8Rng, profile: Profile) -> Vec<TrialJob> {
    let span = profile.span();
    let workers: usize = profile.zone_sizes().iter().sum();
    let capacity = 8.0 * workers as f64 * span.as_secs_f64();
    let wanted = capacity * LOAD_PERCENT as f64 / 100.0;
    let mut jobs = Vec::new();
    let mut asked = 0.0;
    while asked < wanted {
        let at = moment(rng, span);
        let burst = if rng.random_ratio(1, 40) {
            rng.random_range(5..20)
        } else {
            1
        };
        for _ in 0..burst {
            let job = draw_job(rng, profile, jobs.len(), at);
            asked += f64::from(job.spec.shape.accelerators()) * job.run_time.as_secs_f64();
            jobs.push(job);
        }
    }
    for _ in 0..2 {
        let wave = moment(rng, span);
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

fn draw_job(rng: &mut ChaCha8Rng, profile: Profile, number: usize, at: Timestamp) -> TrialJob {
    let mix: JobMix = *pick(rng, profile.mixes(), |mix| mix.weight);
    let (low, high) = mix.tasks;
    let tasks = log_uniform(rng, f64::from(low), f64::from(high) + 0.99);
    let tasks = (low..=high)
        .rev()
        .find(|n| f64::from(*n) <= tasks)
        .unwrap_or(low);
    let run_time = seconds(rng, mix.run_time.0, mix.run_time.1);
    // Declared times are wrong by up to ten times either way.
    let declared = run_time.mul_f64(log_uniform(rng, 0.1, 10.0));
    let (owner, _) = pick(rng, &OWNERS, |(_, weight)| *weight);
    let is_urgent = rng.random_ratio(1, 50);
    let spec = JobSpec::builder()
        .key(RequestKey {
            organisation: name(owner),
            id: name(&format!("j{number}")),
        })
        .shape(GangShape::new(tasks, mix.each, mix.adjacency).expect("the mixes are valid"))
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
        // One in about twelve checkpoints exceeds the limit of 30 s.
        checkpoint_time: seconds(rng, Duration::from_secs(1), Duration::from_secs(40)),
        is_faulty: rng.random_ratio(1, 200),
        cancelled_at: None,
    }
}

/// Failures and restarts at the rates of the two-year fleet: 110 failures and 1,900 restarts a
/// day among 5,700 workers, where a restarting agent leaves its tasks alone; one rack that fails; one worker that fails everything for 2 h.
fn worker_faults(rng: &mut ChaCha8Rng, profile: Profile) -> Vec<(Timestamp, Fault)> {
    let span = profile.span();
    let days = span.as_secs_f64() / 86_400.0;
    let sizes = profile.zone_sizes();
    let mut faults = Vec::new();
    let mut outage =
        |at: Timestamp, takes: Duration, fault: Fault, (zone, worker): (usize, usize)| {
            faults.push((at, fault));
            faults.push((at + takes, Fault::WorkerUp(zone, worker)));
        };
    for (zone, size) in sizes.iter().enumerate() {
        for worker in 0..*size {
            if rng.random_bool((days * 110.0 / 5700.0).min(1.0)) {
                let takes = seconds(rng, Duration::from_secs(600), Duration::from_secs(3600));
                let fault = Fault::WorkerDown(zone, worker);
                outage(moment(rng, span), takes, fault, (zone, worker));
            }
            if rng.random_bool((days * 1900.0 / 5700.0).min(1.0)) {
                let takes = seconds(rng, Duration::from_secs(60), Duration::from_secs(300));
                let fault = Fault::WorkerSilent(zone, worker);
                outage(moment(rng, span), takes, fault, (zone, worker));
            }
        }
    }
    let at = moment(rng, span);
    let zone = rng.random_range(0..sizes.len());
    for worker in 0..3 {
        let fault = Fault::WorkerDown(zone, worker);
        outage(at, Duration::from_secs(1200), fault, (zone, worker));
    }
    let (at, zone) = (moment(rng, span), rng.random_range(0..sizes.len()));
    let worker = rng.random_range(0..sizes[zone]);
    faults.push((at, Fault::ExecutorBroken(zone, worker)));
    let repaired_at = at + Duration::from_secs(7200);
    faults.push((repaired_at, Fault::ExecutorRepaired(zone, worker)));
    faults
}
