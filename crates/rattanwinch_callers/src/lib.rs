//! The HTTP interface towards callers: JSON over HTTP/1.1, by `poem`.
//!
//! [`plain_routes`] and [`job_routes`] make the endpoints; [`PlainBackend`] and [`JobBackend`]
//! are what an entry does behind them. Bodies are checked here: an unknown field, a wrong type
//! or a body over [`MAX_BODY_BYTES`] is refused with the verdict "not run" before the backend
//! sees it.
//!
//! This package isn't for routing or placement: see `rattanwinch_entry`.

mod backend;
mod job_routes;
mod plain_routes;
mod wire;

pub use backend::JobBackend;
pub use backend::PlainBackend;
pub use backend::Result;
pub use job_routes::MAX_STATUS_WAIT;
pub use job_routes::job_routes;
pub use plain_routes::MAX_BODY_BYTES;
pub use plain_routes::plain_routes;
pub use wire::InvalidBody;
pub use wire::WireExplanation;
pub use wire::WireJobRequest;
pub use wire::WireJobStatus;
pub use wire::WirePlainAnswer;
pub use wire::WirePlainRequest;
