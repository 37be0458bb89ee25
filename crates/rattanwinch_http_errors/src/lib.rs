//! Error responses over HTTP: the status of each class of errors, and the JSON body with the
//! verdict.
//!
//! The interfaces for callers and for operators share them, so that errors have the same form in
//! both. Each interface decides which error a request gets.

mod status;
mod wire_error;

pub use status::error_response;
pub use status::http_status;
pub use wire_error::WireError;
pub use wire_error::WireErrorBody;
