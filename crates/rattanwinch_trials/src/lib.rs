//! Trials of the scheduling policy against baselines.
//!
//! The driver feeds seeded arrivals, departures and faults straight into the decisions; there
//! are no processes and no network. The same seed gives the same events to each scheduler, so
//! that they can be compared side by side. It isn't a simulator of clusters: a start takes no
//! time, and tasks don't disturb each other.
//!
//! Start reading at [`Profile`], then [`run_trial`], [`TrialReport`] and [`measure_speed`].

mod accounts;
mod backfill;
mod block_map;
mod comparison;
mod driver;
mod first_come;
mod fragmentation;
mod guarantee_waits;
mod job_run;
mod measures;
mod passes;
mod policy_zone;
mod profile;
mod report;
mod speed;
mod speed_fleet;
mod workload;
mod zone_change;
mod zone_run;
mod zone_scheduler;

pub use comparison::SchedulerKind;
pub use comparison::compare;
pub use driver::run_trial;
pub use driver::trace_waits;
pub use guarantee_waits::WaitTrace;
pub use measures::Measures;
pub use passes::PassReport;
pub use passes::measure_passes;
pub use profile::Profile;
pub use report::TrialReport;
pub use speed::SpeedReport;
pub use speed::measure_speed;
pub use workload::Workload;
pub use zone_change::ZoneChangeShares;
