//! A whole site in one process, for the demonstration, the measurements and the tests.
//!
//! [`Site`] starts executors (stand-ins), an agent beside each and an entry in front, all over
//! loopback with the same messages as separate processes exchange. [`testing`] starts the
//! daemons as processes instead. [`Tour`] is the demonstration.

mod site;
pub mod testing;
mod tour;

pub use site::Site;
pub use site::SiteSize;
pub use tour::Tour;
