//! The table of an agent's members: random runs against the stand-in for an executor, and the cases
//! that random runs seldom reach.

mod cases;
mod support;
mod world;

use std::cell::Cell;

use rattanwinch_testing::PropertyTest;
use world::World;

/// Guards against accelerators granted twice, a start after the hold, from an old epoch or under
/// an expired gate, a second run, a false "not run", and a member that never ends; with commands,
/// calls, results and lists in any order, late, lost or repeated, and agents that restart.
#[test]
fn random_runs_keep_the_invariants() {
    let starts = Cell::new(0_u64);
    let run = PropertyTest::new("members")
        .with_seeds(100)
        .with_entropy_bytes(16_384);
    run.run(|u| {
        let (mut world, mut steps) = (World::new(), 0);
        while !u.is_empty() {
            world.step(u)?;
            steps += 1;
        }
        world.comes_to_rest();
        starts.set(starts.get() + world.starts);
        Ok(steps)
    });
    let starts = starts.get();
    println!("{starts} starts");
    assert!(
        starts > 0,
        "no run started anything, so nothing was checked"
    );
}
