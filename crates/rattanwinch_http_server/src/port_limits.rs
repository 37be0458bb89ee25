use std::time::Duration;

/// Memory of a connection besides its head: the task, hyper's state, and a body of
/// [`FREE_BODY_BYTES`].
pub(crate) const CONNECTION_OVERHEAD: usize = 12 * 1024;

/// Bodies up to this size are covered by the memory of their connection, so that ordinary requests
/// never wait for memory that large bodies hold.
pub(crate) const FREE_BODY_BYTES: usize = 4096;

/// Limits of one port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PortLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request's head.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Memory for bodies that have not arrived completely or wait for their handling.
    pub body_memory: usize,
    /// Memory for the handling of bodies.
    pub handling_memory: usize,
    /// Time within which a head has to arrive.
    pub header_timeout: Duration,
    /// Time within which the next bytes of a body have to arrive.
    pub body_timeout: Duration,
    /// How long a connection stays open between requests.
    pub idle_timeout: Duration,
}
