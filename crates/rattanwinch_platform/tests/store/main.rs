//! Tests of the client of the store over HTTP against the stand-in.

mod budget;
mod group_commit;
mod leases;
mod lost_answers;
mod settings;
mod support;
mod transactions;
mod wire;
