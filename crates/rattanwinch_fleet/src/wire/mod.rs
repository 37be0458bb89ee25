//! Wire formats of the RPC messages and their conversions.

mod calls;
mod orders;
mod reports;

pub use calls::WireAnswer;
pub use calls::WireCall;
pub use calls::WireLeader;
pub use calls::WireLeaderStatus;
pub use orders::WireOrders;
pub use orders::WireResults;
pub use reports::WireReport;
pub use reports::WireReportAnswer;
