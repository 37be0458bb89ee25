//! The HTTP interface towards operators: the configuration, its history, and reports.
//!
//! [`ConfigChanges`] applies a change by compare-and-swap on the configuration document, together
//! with the record of the change. [`FleetReporter`] is what an entry tells of the fleet, and
//! [`operator_routes`] makes the endpoints of both. [`BurnCounters`] are the counters that the
//! path of a request touches.
//!
//! This package isn't for the checks of a change: see `rattanwinch_decisions::apply_change`.
//! Start reading at [`OperatorsApi`].

mod burn_counters;
mod burn_table;
mod change_failure;
mod change_request;
mod config_changes;
mod failure_response;
mod operators_api;
mod report;
mod routes;
mod wire;

pub use burn_counters::BurnCounters;
pub use burn_table::burn_table;
pub use change_failure::ChangeFailure;
pub use change_failure::StaleChange;
pub use change_request::AcceptedChange;
pub use change_request::ChangeRequest;
pub use change_request::CurrentConfig;
pub use change_request::HistoryPage;
pub use config_changes::ConfigChanges;
pub use config_changes::KnownRevision;
pub use config_changes::MAX_DOCUMENT_BYTES;
pub use config_changes::MAX_HISTORY_PAGE;
pub use failure_response::failure_response;
pub use operators_api::Now;
pub use operators_api::OnAccepted;
pub use operators_api::OperatorsApi;
pub use report::FleetReporter;
pub use report::GuaranteeReport;
pub use report::Result;
pub use report::TargetReport;
pub use report::ZoneReport;
pub use routes::MAX_BODY_BYTES;
pub use routes::operator_routes;
pub use wire::WireBurn;
pub use wire::WireBurnReport;
pub use wire::WireBurnWindow;
pub use wire::WireChangeAnswer;
pub use wire::WireChangeRequest;
pub use wire::WireConfig;
pub use wire::WireConfigChange;
pub use wire::WireGuaranteeReport;
pub use wire::WireHistory;
pub use wire::WireHistoryItem;
pub use wire::WireStaleChange;
pub use wire::WireTargetReport;
pub use wire::WireZoneReport;
