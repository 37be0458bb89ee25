//! Tests of the policy of one availability zone.

mod fixtures;
mod guarantees;
mod queueing;
mod random;
mod workers;
