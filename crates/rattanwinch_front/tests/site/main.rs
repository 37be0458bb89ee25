//! Whole sites on loopback: fronts, agents, and stand-ins for the store and the executors.

mod harness;

mod calls;
mod changes_of_scheduler;
mod lost_targets;
