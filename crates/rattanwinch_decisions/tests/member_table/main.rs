//! Tests of the member table: random runs against the executor stand-in, and cases that random runs
//! rarely reach.

mod cases;
mod simulation;
mod support;

use std::cell::Cell;

use rattanwinch_testing::PropertyTest;
use simulation::Simulation;

/// Guards against accelerators granted twice, a start after the hold, from an old epoch or with an
/// out-of-date view, a second run, a false "not run", and a member that never ends. Commands,
/// calls, results and lists arrive in any order, late, lost or repeated, and agents restart.
#[test]
fn random_runs_keep_the_invariants() {
    let starts = Cell::new(0_u64);
    let run = PropertyTest::new("members")
        .with_seeds(100)
        .with_entropy_bytes(16_384);
    run.run(|u| {
        let (mut simulation, mut steps) = (Simulation::new(), 0);
        while !u.is_empty() {
            simulation.step(u)?;
            steps += 1;
        }
        simulation.check_all_members_end();
        starts.set(starts.get() + simulation.starts);
        Ok(steps)
    });
    let starts = starts.get();
    println!("{starts} starts");
    assert!(
        starts > 0,
        "no run started anything, so nothing was checked"
    );
}
