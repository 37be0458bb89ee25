//! What the tests of several packages share: randomised runs and frozen processes; never shipped.
//!
//! [`RandomRun`] drives a property by `arbtest` over a fixed list of seeds, so that a test gives
//! the same verdict each time. The same property serves as a long run: `.ci/long-run` sets the
//! number of seeds by [`SEEDS_VARIABLE`].

mod freeze;
mod random_run;

pub use freeze::wait_stopped;
pub use random_run::FIRST_SEED_VARIABLE;
pub use random_run::RandomRun;
pub use random_run::SEEDS_VARIABLE;
