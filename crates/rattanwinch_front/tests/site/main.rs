//! Tests of whole sites on loopback: fronts, agents, and stand-ins for the platform.

mod harness;

mod advice;
mod calls;
mod changes_of_scheduler;
mod failovers;
mod job_states;
mod late_orders;
mod lost_targets;
mod shapes_of_work;
mod store_limits;
mod traces;
mod unequal_fronts;
mod upkeep;
