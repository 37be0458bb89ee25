//! A complete site on one machine, for the demonstration, benchmarks and end-to-end tests.
//!
//! [`Site`] runs stand-in executors, their agents and the entries in one process, which communicate
//! over loopback with the same messages as separate processes. [`testing`] starts the daemons as
//! processes instead. [`Demo`] is the demonstration.

mod demo;
mod site;
pub mod testing;

pub use demo::Demo;
pub use site::Site;
pub use site::SiteSize;
