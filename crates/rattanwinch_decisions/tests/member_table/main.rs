//! The table of an agent's members: random runs against the stand-in for an executor, and the cases
//! that random runs seldom reach.

mod cases;
mod support;
mod world;

use std::cell::Cell;

use world::World;

/// The time for random runs in milliseconds, unless `ARBTEST_BUDGET_MS` gives another.
const BUDGET_MS: u64 = 5_000;

/// Guards against accelerators granted twice, a start after the hold, from an old epoch or under
/// an expired gate, a second run, a false "not run", and a member that never ends; with commands,
/// calls, results and lists in any order, late, lost or repeated, and agents that restart.
#[test]
fn random_runs_keep_the_invariants() {
    let (steps, seeds, starts) = (Cell::new(0u64), Cell::new(0u64), Cell::new(0u64));
    let mut runs = arbtest::arbtest(|u| {
        seeds.set(seeds.get() + 1);
        let mut world = World::new();
        while !u.is_empty() {
            world.step(u)?;
            steps.set(steps.get() + 1);
        }
        world.comes_to_rest();
        starts.set(starts.get() + world.starts);
        Ok(())
    });
    if std::env::var_os("ARBTEST_BUDGET_MS").is_none() {
        runs = runs.budget_ms(BUDGET_MS);
    }
    runs.run();
    let (steps, seeds, starts) = (steps.get(), seeds.get(), starts.get());
    println!("{steps} steps over {seeds} seeds, {starts} starts");
    assert!(
        starts > 0,
        "no run started anything, so nothing was checked"
    );
}
