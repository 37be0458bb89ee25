//! The daemon beside a target of a site.
//!
//! [`SideDaemon`] listens to the executor on its VM, renews the leases of what runs there while a
//! scheduler is in touch, reports to the front that schedules, and carries out its orders.
//! Start reading at [`SideDaemon`], then `target_view.rs` for what is believed of the executor.
//!
//! It decides nothing about jobs; see `rattanwinch_scheduling`.

mod executor_watch;
mod leader_search;
mod orders;
mod reporter;
mod side_daemon;
mod side_settings;
mod side_state;
mod target_view;

pub use side_daemon::SideDaemon;
pub use side_settings::SideSettings;
pub use target_view::TargetView;
