//! How errors are answered over HTTP: the status of each class and the JSON body with the verdict.
//!
//! The interfaces towards callers and operators share it, so that an error reads the same from
//! both. Which error a request gets is up to them.

mod status;
mod wire_error;

pub use status::error_response;
pub use status::status_of;
pub use wire_error::WireError;
pub use wire_error::WireErrorBody;
