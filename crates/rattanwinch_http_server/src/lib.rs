//! HTTP servers with limits for clients that the site does not control.
//!
//! A port is bound as [`HttpServer<Bound>`], which then serves a [`Handler`]. The memory of a port
//! is divided in advance: [`PortLimits`] states how many connections it may have, each with its
//! buffers, how many bytes of incomplete bodies, and how many bytes of bodies that are handled at
//! the same time. A body is read only after its memory has been reserved (`arriving.rs`); if there
//! is none left, `sweeper.rs` sheds connections that make no progress. A request that was passed on
//! to the handler is never shed.
//!
//! [`HttpLimits`] are the settings, from which each port's limits are derived.

mod arriving;
mod connection;
mod connection_table;
mod limits;
mod metered_stream;
mod poem_handler;
mod port_limits;
mod port_state;
mod refusal;
mod server;
mod sweeper;

pub use limits::HttpLimits;
pub use poem_handler::poem_handler;
pub use poem_handler::poem_handler_with_refusals;
pub use port_limits::PortLimits;
pub use refusal::Refusal;
pub use server::Bound;
pub use server::Handler;
pub use server::HttpServer;
pub use server::RequestBody;
pub use server::Serving;
