use std::net::SocketAddr;

use rattanwinch_types::value;

value! { copy
    /// The front that schedules.
    pub struct LeaderInfo {
        /// Rises with each change of the front that schedules.
        pub epoch: u64,
        /// Where it serves other fronts and agents.
        pub address: SocketAddr,
    }
}
