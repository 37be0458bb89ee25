use std::fmt;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_decisions::JobEnd;
use rattanwinch_types::Adjacency;
use rattanwinch_types::GangShape;
use serde::Serialize;

use crate::measures::Percentiles;
use crate::measures::Times;
use crate::speed_fleet::SpeedFleet;

/// The tasks of the gang that is placed.
const GANG_TASKS: u16 = 128;

/// The jobs of a burst.
const BURST: usize = 10_000;

/// The goal for the p99 of placing the gang, in milliseconds.
const GANG_GOAL_MS: f64 = 2.0;

/// The goal for deciding a burst, in seconds.
const BURST_GOAL_S: f64 = 2.8;

/// The speed of decisions at one size of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct SpeedRow {
    /// Workers in the zone.
    pub workers: u32,
    /// Tasks that run.
    pub tasks: usize,
    /// One decision that starts a gang of 128 anywhere in the zone, in milliseconds.
    pub gang_zone_ms: Percentiles,
    /// One decision that starts a gang of 128 in neighbouring racks, in milliseconds; zero if it
    /// never found room.
    pub gang_racks_ms: Percentiles,
    /// One decision after the start of a gang, with nothing left to start, in milliseconds.
    pub idle_ms: Percentiles,
    /// One full check of the invariants, in milliseconds.
    pub check_ms: Percentiles,
    /// Taking in all workers with a decision after each, in seconds.
    pub adoption_s: f64,
    /// Submitting and deciding 10,000 small jobs, in seconds.
    pub burst_s: f64,
    /// How many of them started; the others found no room.
    pub burst_started: usize,
}

/// The speed of decisions against the size of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct SpeedReport {
    /// Starts that each figure is taken from.
    pub rounds: u32,
    /// One row for each size.
    pub rows: Vec<SpeedRow>,
}

/// Measures on one thread.
#[must_use]
pub fn measure_speed(sizes: &[u32], rounds: u32) -> SpeedReport {
    let rows = sizes.iter().map(|workers| measure_size(*workers, rounds));
    SpeedReport {
        rounds,
        rows: rows.collect(),
    }
}

/// Times are recorded in microseconds as if they were milliseconds of a [`Times`], so that its
/// percentiles come out in milliseconds.
fn record(times: &mut Times, took: Duration) {
    times.record(took * 1000);
}

fn measure_size(workers: u32, rounds: u32) -> SpeedRow {
    let mut fleet = SpeedFleet::new(workers);
    let mut idle = Times::new();
    let gang_zone = measure_gang(&mut fleet, Adjacency::Zone, rounds, &mut idle);
    let gang_racks = measure_gang(&mut fleet, Adjacency::Racks, rounds, &mut idle);
    let mut check = Times::new();
    for _ in 0..rounds.min(100) {
        let start = Instant::now();
        fleet
            .policy
            .check_invariants()
            .expect("the invariants hold");
        record(&mut check, start.elapsed());
    }
    let tasks = fleet.tasks;
    let (burst_s, burst_started) = measure_burst(&mut fleet);
    assert_eq!(fleet.policy.violation_count(), 0);
    SpeedRow {
        workers,
        tasks,
        gang_zone_ms: gang_zone.percentiles(),
        gang_racks_ms: gang_racks.percentiles(),
        idle_ms: idle.percentiles(),
        check_ms: check.percentiles(),
        adoption_s: fleet.adoption.as_secs_f64(),
        burst_s,
        burst_started,
    }
}

/// Starts the gang and ends it again, so many times.
fn measure_gang(
    fleet: &mut SpeedFleet,
    adjacency: Adjacency,
    rounds: u32,
    idle: &mut Times,
) -> Times {
    let mut times = Times::new();
    let shape = GangShape::new(GANG_TASKS, 1, adjacency).expect("a valid shape");
    for _ in 0..rounds {
        fleet.now = fleet.now + Duration::from_millis(20);
        let key = fleet.submit(shape);
        let start = Instant::now();
        let decisions = fleet.policy.decide(fleet.now);
        let took = start.elapsed();
        if decisions.is_empty() {
            fleet.policy.cancel(&key, fleet.now);
            continue;
        }
        record(&mut times, took);
        fleet.policy.job_started(&key, fleet.now);
        let start = Instant::now();
        let rest = fleet.policy.decide(fleet.now);
        record(idle, start.elapsed());
        assert!(rest.is_empty(), "nothing else was submitted");
        fleet.policy.job_ended(&key, JobEnd::Evicted, fleet.now);
    }
    times
}

fn measure_burst(fleet: &mut SpeedFleet) -> (f64, usize) {
    let shapes: Vec<GangShape> = (0..BURST).map(|_| fleet.small_shape()).collect();
    fleet.now = fleet.now + Duration::from_millis(20);
    let start = Instant::now();
    for shape in shapes {
        fleet.submit(shape);
    }
    let decisions = fleet.policy.decide(fleet.now);
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
            "goals at {} workers: gang p99 under {GANG_GOAL_MS} ms: {}; burst within \
             {BURST_GOAL_S} s: {}",
            last.workers,
            verdict(gang < GANG_GOAL_MS),
            verdict(last.burst_s <= BURST_GOAL_S)
        )
    }
}
