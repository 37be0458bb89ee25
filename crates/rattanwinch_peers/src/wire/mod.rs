//! The messages. Each type converts to and from one plain type; reading one checks it.

mod config_copy;
mod heartbeat;
mod invalid_wire;
mod job;
mod member;
mod peer_state;
mod plain;
mod request_error;

pub use config_copy::WireConfigCopy;
pub use heartbeat::WireHeartbeat;
pub use heartbeat::WireHeartbeatResponse;
pub use invalid_wire::InvalidMessage;
pub use job::WireExplanation;
pub use job::WireJobSpec;
pub use job::WireJobState;
pub use job::WireJobStatus;
pub use member::WireHoldOrder;
pub use member::WireMemberKey;
pub use member::WireMemberReport;
pub use member::WireStopOrder;
pub use peer_state::WirePeerState;
pub use plain::WireAnswer;
pub use plain::WireAttemptKey;
pub use plain::WireAttemptOutcome;
pub use plain::WirePlainAttempt;
pub use plain::WireRequestKey;
pub use request_error::WireRequestError;

use std::time::Duration;

/// Whole milliseconds of a duration.
fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
