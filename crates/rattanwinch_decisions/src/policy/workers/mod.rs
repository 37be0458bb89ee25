//! The workers of a zone, their accelerators, and who holds them.

pub(crate) mod blocks;
mod holders;
mod slot;
mod worker;
mod worker_id;
mod worker_info;
mod worker_pool;

pub(crate) use holders::BlockId;
pub(crate) use holders::JobId;
pub(crate) use slot::Slot;
pub(crate) use slot::Slots;
pub(crate) use worker::Occupant;
pub(crate) use worker::Tenure;
pub(crate) use worker::Worker;
pub(crate) use worker::WorkerState;
pub(crate) use worker_id::WorkerId;
pub use worker_info::WorkerInfo;
pub(crate) use worker_pool::CAPACITY_MEMORY;
pub(crate) use worker_pool::Rack;
pub(crate) use worker_pool::WorkerPool;
