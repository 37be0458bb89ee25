//! Decisions about jobs of several steps on targets of unequal room.
//!
//! [`Scheduler`] is the place to start: it takes jobs, rules and reports of targets, and gives
//! placements, orders and the changes that have to be durable first. It does no I/O, reads no
//! clock and knows no message's encoding; the present time is an argument.
//!
//! [`JobDescription`] says what a caller asks for, [`TargetReport`] what an agent reads from its
//! target, [`TargetOrders`] what an agent is told. [`Event`] explains each decision.
//! [`UpkeepPlanner`] carries out the waves of upkeep that operators order.
//!
//! This package isn't for the product's own gang jobs and their buddy blocks: see
//! `rattanwinch_decisions`.

mod active_run;
mod advice;
mod event;
mod job;
mod job_description;
mod job_id;
mod lateness;
mod limits;
mod making_room;
mod order;
mod orders;
mod placement;
mod placing;
mod reports;
mod resources;
mod rules;
mod scheduler;
mod silences;
mod stalls;
mod target;
mod upkeep;
mod upkeep_wave;
mod waiting;

pub use advice::AdvisorQuery;
pub use advice::AdvisorResponse;
pub use event::Event;
pub use event::RemovalCause;
pub use job::AcceptedJob;
pub use job::JobProgress;
pub use job::JobState;
pub use job::TaskProgress;
pub use job_description::JobDescription;
pub use job_description::MAX_JOB_TASKS;
pub use job_description::Recurrence;
pub use job_description::StepDescription;
pub use job_id::Checkpoint;
pub use job_id::JobId;
pub use job_id::Label;
pub use job_id::MachineId;
pub use job_id::QueueName;
pub use job_id::RunId;
pub use job_id::ServiceName;
pub use job_id::StepId;
pub use job_id::TaskId;
pub use job_id::Ticket;
pub use limits::SchedulingLimits;
pub use order::OrderOutcome;
pub use order::StartOrder;
pub use order::StartRefusal;
pub use order::TargetOrders;
pub use resources::Resources;
pub use rules::AdvisorTiming;
pub use rules::LatencyObjective;
pub use rules::QueueRules;
pub use rules::SchedulingRules;
pub use scheduler::Changes;
pub use scheduler::Scheduler;
pub use silences::SilentInstances;
pub use target::EndedTask;
pub use target::RunOutcome;
pub use target::RunningTask;
pub use target::TargetDescription;
pub use target::TargetInstance;
pub use target::TargetReport;
pub use upkeep::UpkeepAction;
pub use upkeep::UpkeepPlanner;
pub use upkeep_wave::Machine;
pub use upkeep_wave::MachineState;
pub use upkeep_wave::UpkeepOutcome;
pub use upkeep_wave::UpkeepWave;
