//! Scheduling decisions for multi-step jobs on heterogeneous targets.
//!
//! Start reading at [`Scheduler`]. Its inputs are jobs, rules and target reports; its outputs are
//! placements, orders and the changes that must be durable first. It performs no I/O, reads no
//! clock and knows no message encoding; the current time is an argument.
//!
//! [`JobDescription`] is a caller's job, [`TargetReport`] an agent's view of its target, and
//! [`TargetOrders`] the orders to an agent. [`Event`] explains each decision.
//! [`UpkeepPlanner`] carries out the maintenance waves that operators order.
//!
//! Gang jobs on buddy blocks are scheduled by `rattanwinch_decisions` instead.

mod active_runs;
mod admission;
mod advisor_tickets;
mod closure;
mod delay_cost;
mod drains;
mod event;
mod evictions;
mod guarantees;
mod job;
mod job_description;
mod job_id;
mod job_steps;
mod lateness;
mod limits;
mod order;
mod orders;
mod placement;
mod placement_pass;
mod preemption;
mod queue_order;
mod reclaim;
mod reports;
mod reservations;
mod resources;
mod room;
mod rules;
mod run_lists;
mod run_set;
mod run_times;
mod scheduler;
mod shares;
mod silences;
mod stalls;
mod step_visits;
mod target;
mod target_speeds;
mod upkeep;
mod upkeep_wave;
mod waiting;

pub use admission::Admission;
pub use admission::RefusalReason;
pub use advisor_tickets::AdvisorQuery;
pub use advisor_tickets::AdvisorResponse;
pub use closure::TargetClosure;
pub use event::Event;
pub use event::RemovalCause;
pub use job::AcceptedJob;
pub use job::JobProgress;
pub use job::JobState;
pub use job::ProgressPart;
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
pub use job_steps::JobSteps;
pub use limits::SchedulingLimits;
pub use order::OrderOutcome;
pub use order::StartOrder;
pub use order::StartRefusal;
pub use order::TargetOrders;
pub use reclaim::ReclaimEnd;
pub use resources::Resources;
pub use rules::AdvisorTiming;
pub use rules::LatencyObjective;
pub use rules::QueueRules;
pub use rules::SchedulingRules;
pub use run_lists::ListExtent;
pub use run_lists::RunLists;
pub use scheduler::Changes;
pub use scheduler::Scheduler;
pub use silences::SilentInstances;
pub use step_visits::step_visits;
pub use target::EndedTask;
pub use target::RunOutcome;
pub use target::RunningTask;
pub use target::TargetDescription;
pub use target::TargetInstance;
pub use target::TargetReport;
pub use target_speeds::Speed;
pub use upkeep::UpkeepAction;
pub use upkeep::UpkeepPlanner;
pub use upkeep_wave::Machine;
pub use upkeep_wave::MachineState;
pub use upkeep_wave::UpkeepOutcome;
pub use upkeep_wave::UpkeepWave;
pub use waiting::PassWork;
