//! Randomised runs of the gang coordinator against a model of the store, agents and network.

mod gang_model;

use std::cell::Cell;

use gang_model::World;
use rattanwinch_testing::PropertyTest;

/// Guards against releases without a commit, two live attempts of a job, verdicts that are better
/// than the truth, and answers of another attempt, whatever is lost, late or replaced.
#[test]
fn no_history_breaks_the_rules_of_gangs() {
    let finished = Cell::new(0);
    let succeeded = Cell::new(0);
    let run = PropertyTest::new("gangs")
        .with_seeds(100)
        .with_entropy_bytes(20_000);
    run.run(|u| {
        let (mut world, mut steps) = (World::new(), 0);
        while !u.is_empty() {
            world.step(u)?;
            steps += 1;
        }
        finished.set(finished.get() + world.finished);
        succeeded.set(succeeded.get() + world.succeeded);
        Ok(steps)
    });
    println!(
        "{} jobs finished, {} of them with answers",
        finished.get(),
        succeeded.get()
    );
    assert!(
        succeeded.get() > 0,
        "no gang ever succeeded, so the run shows nothing"
    );
}

/// Guards against two attempts of a gang at a time when a replaced decider, cut off from the store
/// and the other entries, still reaches some of the agents.
#[test]
fn a_decider_that_is_cut_off_with_some_agents_never_overlaps_the_next_one() {
    let run = PropertyTest::new("cut off")
        .with_seeds(100)
        .with_entropy_bytes(20_000);
    run.run(|u| {
        let mut steps = 0;
        while !u.is_empty() {
            steps += World::new().run_cut_off(u)?;
        }
        Ok(steps)
    });
}

/// Guards against survivors that a decider renews for good because most agents fell silent at
/// once, which it puts down to itself.
#[test]
fn a_gang_with_members_silent_for_their_lease_ends_even_if_most_agents_are_silent() {
    let run = PropertyTest::new("silent")
        .with_seeds(100)
        .with_entropy_bytes(10_000);
    run.run(|u| {
        let mut steps = 0;
        while !u.is_empty() {
            steps += World::new().run_silent(u)?;
        }
        Ok(steps)
    });
}
