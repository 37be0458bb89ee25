//! Jobs and what is known of them, those that wait in their order, and the rules for them.

mod head_of_queue;
mod job;
mod job_history;
mod job_queue;
mod refill;
mod rules;
mod run_times;
mod wait_cause;

pub(crate) use head_of_queue::HeadOfQueue;
pub(crate) use job::ActiveJob;
pub(crate) use job::Allocation;
pub(crate) use job::Job;
pub(crate) use job::Queued;
pub(crate) use job::Reclaiming;
pub(crate) use job_history::JOB_FAILURES;
pub(crate) use job_history::JobHistories;
pub(crate) use job_history::JobHistory;
pub(crate) use job_queue::JobQueue;
pub(crate) use refill::REFILL_STEP;
pub(crate) use refill::Refill;
pub(crate) use rules::Rules;
pub(crate) use run_times::RunTimes;
pub(crate) use wait_cause::WaitCause;
