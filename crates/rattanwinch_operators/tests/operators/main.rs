//! Tests of the interface for operators.

mod burn_counters;
mod memory_store;
mod racing_operators;
mod routes;
