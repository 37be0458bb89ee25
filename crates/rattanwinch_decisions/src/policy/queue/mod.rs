//! Jobs and their histories, the queue, and the configuration that applies to them.

mod head_reservation;
mod job;
mod job_history;
mod job_queue;
mod ramp_up;
mod run_times;
mod wait_cause;
mod zone_config;

pub(crate) use head_reservation::HeadReservation;
pub(crate) use job::ActiveJob;
pub(crate) use job::Allocation;
pub(crate) use job::Job;
pub(crate) use job::Queued;
pub(crate) use job::Reclaiming;
pub(crate) use job_history::FAILED_WORKERS_TO_REFUSE_JOB;
pub(crate) use job_history::JobHistories;
pub(crate) use job_history::JobHistory;
pub(crate) use job_queue::JobQueue;
pub(crate) use ramp_up::RAMP_UP_INTERVAL;
pub(crate) use ramp_up::RampUp;
pub(crate) use run_times::RunTimes;
pub(crate) use wait_cause::WaitCause;
pub(crate) use zone_config::ZoneConfig;
