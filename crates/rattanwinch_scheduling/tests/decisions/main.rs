//! Tests of single decisions of the scheduler.

mod fixture;

mod admission;
mod closures;
mod drains;
mod large_jobs;
mod lateness;
mod partial_lists;
mod placing;
mod reclaiming;
mod reserving;
mod run_times;
mod runs;
mod sharing;
mod silences;
mod speeds;
mod stalls;
mod states;
mod upkeep;
mod victims;
