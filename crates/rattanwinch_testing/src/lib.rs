//! Test utilities that several packages share: property tests and stopped processes. No
//! production package depends on this one.
//!
//! [`odd_document`] generates what another writer may leave in place of a valid document.
//! [`PropertyTest`] checks a property with `arbtest` over a fixed list of seeds, so that a test is
//! reproducible. For a long run, `.ci/long-run` sets the number of seeds with [`SEEDS_VARIABLE`].

mod odd_document;
mod property_test;
mod stopped_process;

pub use odd_document::odd_document;
pub use property_test::FIRST_SEED_VARIABLE;
pub use property_test::PropertyTest;
pub use property_test::SEEDS_VARIABLE;
pub use stopped_process::wait_until_stopped;
