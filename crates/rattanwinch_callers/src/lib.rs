//! The HTTP interface for callers: JSON over HTTP/1.1, implemented with `poem`.
//!
//! [`plain_routes`] and [`job_routes`] build the routes; an entry implements [`PlainBackend`] and
//! [`JobBackend`]. Bodies are validated here: an unknown field, a wrong type or a body over
//! [`MAX_BODY_BYTES`] is refused with the verdict "not run" before it reaches the backend.
//!
//! Routing and placement are in `rattanwinch_entry`.

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
