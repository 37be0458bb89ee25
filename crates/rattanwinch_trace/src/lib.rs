//! Merges the logs of several processes into the timeline of one job.
//!
//! [`LogFile::parse`] reads JSON lines, as written by the daemons or as printed by the users' bench
//! with a time and a machine name in front. [`Trace::for_job`] corrects the clock offsets between
//! the files, keeps the lines about a job and related events, and [`Trace::cause`] summarises the
//! outcome of the job and its cause.
//!
//! Start reading at [`Trace`].

mod cause;
mod clocks;
mod log_file;
mod log_line;
mod trace;

pub use log_file::LogFile;
pub use log_line::LogLine;
pub use trace::Trace;
pub use trace::TraceLine;
