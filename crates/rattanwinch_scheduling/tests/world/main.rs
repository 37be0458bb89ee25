//! Randomised simulations of the scheduler with modelled targets and faults, over fixed seeds.
//!
//! The model checks each start on a target: no task runs twice concurrently or after its
//! acknowledged end, no target exceeds its capacity, steps keep their order, the members of a gang
//! end together, and failed tasks stay within their attempts. After the faults every job must end.

mod model;
mod target;

use model::Simulation;
use rattanwinch_testing::PropertyTest;

#[test]
fn invariants_hold_despite_lost_schedulers_targets_and_orders() {
    PropertyTest::new("scheduler")
        .with_seeds(20)
        .run(|u| Ok(Simulation::new(u.arbitrary()?).run()));
}
