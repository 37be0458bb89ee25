use std::fmt;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_decisions::JobEnd;
use rattanwinch_types::Adjacency;
use rattanwinch_types::GangShape;
use serde::Serialize;

use crate::loaded_zone::LoadedZone;
use crate::measures::DurationHistogram;
use crate::measures::Percentiles;

/// The number of tasks of the measured gang.
const GANG_TASKS: u16 = 128;

/// The number of jobs in a burst.
const BURST_JOBS: usize = 10_000;

/// The goal for the p99 of placing the gang, in milliseconds.
const GANG_P99_GOAL_MS: f64 = 2.0;

/// The goal for deciding a burst, in seconds.
const BURST_GOAL_S: f64 = 2.8;

/// The speed of decisions at one fleet size.
#[derive(Clone, Debug, Serialize)]
pub struct SpeedRow {
    /// Workers in the zone.
    pub workers: u32,
    /// The number of running tasks.
    pub tasks: usize,
    /// One decision that starts a gang of 128 anywhere in the zone, in milliseconds.
    pub gang_zone_ms: Percentiles,
    /// One decision that starts a gang of 128 in neighbouring racks, in milliseconds; zero if it
    /// never fits.
    pub gang_racks_ms: Percentiles,
    /// One decision with nothing to start, in milliseconds.
    pub idle_ms: Percentiles,
    /// One full check of the invariants, in milliseconds.
    pub check_ms: Percentiles,
    /// Registering all workers, with a decision after each, in seconds.
    pub adoption_s: f64,
    /// Submitting 10,000 small jobs and deciding on them, in seconds.
    pub burst_s: f64,
    /// The number of jobs of the burst that started; the others did not fit.
    pub burst_started: usize,
}

/// The speed of decisions against the fleet size.
#[derive(Clone, Debug, Serialize)]
pub struct SpeedReport {
    /// The number of starts per figure.
    pub rounds: u32,
    /// One row for each fleet size.
    pub rows: Vec<SpeedRow>,
}

/// Measures the speed of decisions on one thread.
#[must_use]
pub fn measure_speed(sizes: &[u32], rounds: u32) -> SpeedReport {
    let rows = sizes.iter().map(|workers| measure_size(*workers, rounds));
    SpeedReport {
        rounds,
        rows: rows.collect(),
    }
}

/// Records microseconds as if they were milliseconds, so that the percentiles of the
/// [`DurationHistogram`] are in milliseconds instead of seconds.
fn record(times: &mut DurationHistogram, took: Duration) {
    times.record(took * 1000);
}

fn measure_size(workers: u32, rounds: u32) -> SpeedRow {
    let mut loaded_zone = LoadedZone::new(workers);
    let mut idle = DurationHistogram::new();
    let gang_zone = measure_gang(&mut loaded_zone, Adjacency::Zone, rounds, &mut idle);
    let gang_racks = measure_gang(&mut loaded_zone, Adjacency::Racks, rounds, &mut idle);
    let mut check = DurationHistogram::new();
    for _ in 0..rounds.min(100) {
        let start = Instant::now();
        loaded_zone
            .policy
            .check_invariants()
            .expect("the invariants hold");
        record(&mut check, start.elapsed());
    }
    let tasks = loaded_zone.tasks;
    let (burst_s, burst_started) = measure_burst(&mut loaded_zone);
    assert_eq!(loaded_zone.policy.violation_count(), 0);
    SpeedRow {
        workers,
        tasks,
        gang_zone_ms: gang_zone.percentiles(),
        gang_racks_ms: gang_racks.percentiles(),
        idle_ms: idle.percentiles(),
        check_ms: check.percentiles(),
        adoption_s: loaded_zone.adoption.as_secs_f64(),
        burst_s,
        burst_started,
    }
}

/// Measures `rounds` decisions that start the gang, which is evicted after each.
fn measure_gang(
    loaded_zone: &mut LoadedZone,
    adjacency: Adjacency,
    rounds: u32,
    idle: &mut DurationHistogram,
) -> DurationHistogram {
    let mut times = DurationHistogram::new();
    let shape = GangShape::new(GANG_TASKS, 1, adjacency).expect("a valid shape");
    for _ in 0..rounds {
        loaded_zone.now = loaded_zone.now + Duration::from_millis(20);
        let key = loaded_zone.submit(shape);
        let start = Instant::now();
        let decisions = loaded_zone.policy.decide(loaded_zone.now);
        let took = start.elapsed();
        if decisions.is_empty() {
            loaded_zone.policy.cancel(&key, loaded_zone.now);
            continue;
        }
        record(&mut times, took);
        loaded_zone.policy.job_started(&key, loaded_zone.now);
        let start = Instant::now();
        let rest = loaded_zone.policy.decide(loaded_zone.now);
        record(idle, start.elapsed());
        assert!(rest.is_empty(), "no other job was submitted");
        loaded_zone
            .policy
            .job_ended(&key, JobEnd::Evicted, loaded_zone.now);
    }
    times
}

fn measure_burst(loaded_zone: &mut LoadedZone) -> (f64, usize) {
    let shapes: Vec<GangShape> = (0..BURST_JOBS).map(|_| loaded_zone.small_shape()).collect();
    loaded_zone.now = loaded_zone.now + Duration::from_millis(20);
    let start = Instant::now();
    for shape in shapes {
        loaded_zone.submit(shape);
    }
    let decisions = loaded_zone.policy.decide(loaded_zone.now);
    (start.elapsed().as_secs_f64(), decisions.len())
}

impl fmt::Display for SpeedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rounds = self.rounds;
        writeln!(
            f,
            "one thread, {rounds} starts for each figure; p50/p95/p99 in milliseconds"
        )?;
        writeln!(
            f,
            "{:>8}{:>8}{:>24}{:>24}{:>24}{:>24}{:>14}{:>10}{:>9}",
            "workers",
            "tasks",
            "gang 128, zone",
            "gang 128, racks",
            "idle decision",
            "full check",
            "adoption (s)",
            "burst (s)",
            "started"
        )?;
        for row in &self.rows {
            let text = |p: &Percentiles| format!("{:.3}/{:.3}/{:.3}", p.p50, p.p95, p.p99);
            writeln!(
                f,
                "{:>8}{:>8}{:>24}{:>24}{:>24}{:>24}{:>14.3}{:>10.3}{:>9}",
                row.workers,
                row.tasks,
                text(&row.gang_zone_ms),
                text(&row.gang_racks_ms),
                text(&row.idle_ms),
                text(&row.check_ms),
                row.adoption_s,
                row.burst_s,
                row.burst_started
            )?;
        }
        let Some(last) = self.rows.last() else {
            return Ok(());
        };
        let gang = last.gang_zone_ms.p99.max(last.gang_racks_ms.p99);
        let verdict = |met| if met { "met" } else { "missed" };
        writeln!(
            f,
            "goals at {} workers: gang p99 under {GANG_P99_GOAL_MS} ms: {}; burst within \
             {BURST_GOAL_S} s: {}",
            last.workers,
            verdict(gang < GANG_P99_GOAL_MS),
            verdict(last.burst_s <= BURST_GOAL_S)
        )
    }
}
