//! Tests of the store client over HTTP against the stand-in store.

mod budget;
mod group_commit;
mod leases;
mod lost_answers;
mod settings;
mod support;
mod transactions;
mod wire;
