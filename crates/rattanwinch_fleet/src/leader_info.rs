use std::net::SocketAddr;
use std::time::Duration;

use rattanwinch_types::value;

value! { copy
    /// What a front says of the one that schedules.
    pub struct LeaderWord {
        /// Which front schedules.
        pub leader: LeaderInfo,
        /// How long ago the store's last confirmation of this was asked for, as far as the front
        /// that says so knows.
        pub confirmed_ago: Duration,
    }
}

value! { copy
    /// The front that schedules.
    pub struct LeaderInfo {
        /// Rises with each change of the front that schedules.
        pub epoch: u64,
        /// Where it serves other fronts and agents.
        pub address: SocketAddr,
    }
}
