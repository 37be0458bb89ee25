//! Simulated trials of the scheduling policy against baselines.
//!
//! The driver passes seeded arrivals, departures and faults directly to the scheduling code,
//! without processes or a network. The same seed gives the same events to each scheduler, so that
//! the results are comparable. It is not a cluster simulator: starts take no time, and tasks do
//! not interfere with each other.
//!
//! Start reading at [`Profile`], then [`run_trial`], [`TrialReport`] and [`measure_speed`].

mod backfill;
mod block_map;
mod comparison;
mod driver;
mod first_come_scheduler;
mod fragmentation;
mod guarantee_waits;
mod job_run;
mod large_jobs;
mod loaded_zone;
mod measures;
mod passes;
mod policy_scheduler;
mod profile;
mod report;
mod speed;
mod totals;
mod workload;
mod zone_change;
mod zone_scheduler;
mod zone_state;

pub use comparison::SchedulerKind;
pub use comparison::compare;
pub use driver::run_trial;
pub use driver::trace_waits;
pub use guarantee_waits::WaitTrace;
pub use large_jobs::JobShape;
pub use large_jobs::LargeJobReport;
pub use large_jobs::measure_large_jobs;
pub use measures::Measures;
pub use passes::PassReport;
pub use passes::measure_passes;
pub use profile::Profile;
pub use report::TrialReport;
pub use speed::SpeedReport;
pub use speed::measure_speed;
pub use workload::Workload;
pub use zone_change::ZoneChangeShares;
