//! The bodies of the interface towards operators.

mod change;
mod config;
mod config_change;
mod reports;

pub use change::WireChangeAnswer;
pub use change::WireChangeRequest;
pub use config::WireConfig;
pub use config::WireHistory;
pub use config::WireHistoryItem;
pub use config::WireStaleChange;
pub use config_change::WireConfigChange;
pub use reports::WireBurn;
pub use reports::WireBurnReport;
pub use reports::WireBurnWindow;
pub use reports::WireGuaranteeReport;
pub use reports::WireTargetReport;
pub use reports::WireZoneReport;
