//! What the tests of several packages share: randomised runs and frozen processes; never shipped.
//!
//! [`PropertyTest`] drives a property by `arbtest` over a fixed list of seeds, so that a test gives
//! the same verdict each time. The same property serves as a long run: `.ci/long-run` sets the
//! number of seeds by [`SEEDS_VARIABLE`].

mod freeze;
mod property_test;

pub use freeze::wait_until_stopped;
pub use property_test::FIRST_SEED_VARIABLE;
pub use property_test::PropertyTest;
pub use property_test::SEEDS_VARIABLE;
