//! Randomised runs of the gang coordinator against a model of the store, agents and network.

mod gang_model;

use std::cell::Cell;

use gang_model::Simulation;
use rattanwinch_testing::PropertyTest;

/// Guards against releases without a commit, two live attempts at a job, a "not run" for a job that
/// ran, and outputs of another attempt, while messages are lost or late and deciders are replaced.
#[test]
fn random_faults_violate_no_gang_invariant() {
    let finished = Cell::new(0);
    let succeeded = Cell::new(0);
    let run = PropertyTest::new("gangs")
        .with_seeds(100)
        .with_entropy_bytes(20_000);
    run.run(|u| {
        let (mut simulation, mut steps) = (Simulation::new(), 0);
        while !u.is_empty() {
            simulation.step(u)?;
            steps += 1;
        }
        finished.set(finished.get() + simulation.finished);
        succeeded.set(succeeded.get() + simulation.succeeded);
        Ok(steps)
    });
    println!(
        "{} jobs finished, {} of them with answers",
        finished.get(),
        succeeded.get()
    );
    assert!(
        succeeded.get() > 0,
        "no gang succeeded, so the runs checked nothing"
    );
}

/// Guards against two attempts at a gang running at the same time when a replaced decider,
/// partitioned from the store and the other entries, still reaches some of the agents.
#[test]
fn a_decider_partitioned_with_some_agents_never_overlaps_the_next_one() {
    let run = PropertyTest::new("cut off")
        .with_seeds(100)
        .with_entropy_bytes(20_000);
    run.run(|u| {
        let mut steps = 0;
        while !u.is_empty() {
            steps += Simulation::new().run_partitioned(u)?;
        }
        Ok(steps)
    });
}

/// Guards against a decider that keeps renewing the remaining members of a gang, because it
/// attributes the silence of most agents to itself.
#[test]
fn a_gang_with_members_silent_for_their_lease_ends_even_if_most_agents_are_silent() {
    let run = PropertyTest::new("silent")
        .with_seeds(100)
        .with_entropy_bytes(10_000);
    run.run(|u| {
        let mut steps = 0;
        while !u.is_empty() {
            steps += Simulation::new().run_silent(u)?;
        }
        Ok(steps)
    });
}
