//! Single decisions of the scheduler.

mod fixture;

mod placing;
mod reclaiming;
mod runs;
