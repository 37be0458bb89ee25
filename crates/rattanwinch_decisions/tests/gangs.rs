//! Randomised runs of the gang coordinator against a model of the store, agents and network.

mod gang_model;

use std::cell::Cell;
use std::time::Duration;

use arbtest::arbtest;
use gang_model::World;

/// Guards against releases without a commit, two live attempts of a job, verdicts that are better
/// than the truth, and answers of another attempt, whatever is lost, late or replaced.
#[test]
fn no_history_breaks_the_rules_of_gangs() {
    let finished = Cell::new(0);
    let succeeded = Cell::new(0);
    let steps = Cell::new(0_u64);
    arbtest(|u| {
        let mut world = World::new();
        while !u.is_empty() {
            world.step(u)?;
            steps.set(steps.get() + 1);
        }
        finished.set(finished.get() + world.finished);
        succeeded.set(succeeded.get() + world.succeeded);
        Ok(())
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(5));
    println!(
        "{} steps, {} jobs finished, {} of them with answers",
        steps.get(),
        finished.get(),
        succeeded.get()
    );
    assert!(
        succeeded.get() > 0,
        "no gang ever succeeded, so the run shows nothing"
    );
}
