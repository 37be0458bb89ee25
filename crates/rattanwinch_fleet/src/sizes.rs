/// Maximum size of a message between processes of a site, in bytes. The body of a submission is at
/// most 256 KB, and a target lists at most 500 run ends at a time.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// Maximum number of open connections from peers. Each front and agent of the largest site in the
/// users' files holds one or a few.
pub const MAX_PEER_CONNECTIONS: u32 = 1000;
