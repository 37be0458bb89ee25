/// The largest message between processes of a site, in bytes: a body of a submission is at most
/// 256 KB, and a target lists at most 500 ends at a time.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// Connections that a front or an agent keeps open towards its peers: one or a few for each
/// front and agent of the largest site in the users' files.
pub const MAX_PEER_CONNECTIONS: u32 = 1000;
