//! Workers of a zone, their accelerators, and the jobs and blocks on them.

pub(crate) mod blocks;
mod ids;
mod slot;
mod worker;
mod worker_id;
mod worker_info;
mod worker_pool;

pub(crate) use ids::BlockId;
pub(crate) use ids::JobId;
pub(crate) use slot::Slot;
pub(crate) use slot::Slots;
pub(crate) use worker::Occupancy;
pub(crate) use worker::Occupant;
pub(crate) use worker::Worker;
pub(crate) use worker::WorkerState;
pub(crate) use worker_id::WorkerId;
pub use worker_info::WorkerInfo;
pub(crate) use worker_pool::LOST_WORKER_RETENTION;
pub(crate) use worker_pool::Rack;
pub(crate) use worker_pool::WorkerPool;
