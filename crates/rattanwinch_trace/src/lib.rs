//! Joins the logs of several processes into the time line of one job.
//!
//! [`LogFile::parse`] reads JSON lines, as the daemons write them or as the users' bench prints
//! them behind a time and a machine's name. [`Trace::for_job`] takes all files, sets their clocks
//! against each other, keeps what tells of one job and of what happened around it, and says in a
//! sentence what became of the job and why.
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
