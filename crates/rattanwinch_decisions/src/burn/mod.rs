//! Burn rate of the error budget, per organisation and over several windows.

mod burn_alert;
mod burn_report;
mod burn_window;
mod burn_windows;
mod count_ring;

pub use burn_alert::BurnAlert;
pub use burn_report::BurnReport;
pub use burn_report::OrganisationBurn;
pub use burn_window::BurnWindow;
pub use burn_windows::BurnWindows;
pub use burn_windows::MAX_BURN_ORGANISATIONS;
pub use count_ring::RequestCount;
