//! Randomised runs of the scheduler against modelled targets, with faults, over fixed seeds.
//!
//! The model checks each start as a target takes it: no task runs twice at once or after its end
//! was acknowledged, no target is over its room, steps keep their order, a gang's members end
//! together, and failed tasks stay within their attempts. After the faults every job has to end.

mod model;
mod target;

use model::World;
use rattanwinch_testing::PropertyTest;

#[test]
fn promises_hold_through_losses_of_schedulers_targets_and_orders() {
    PropertyTest::new("scheduler")
        .with_seeds(20)
        .run(|u| Ok(World::new(u.arbitrary()?).play()));
}
