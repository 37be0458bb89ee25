use std::net::SocketAddr;
use std::time::Duration;

use rattanwinch_types::value;

value! { copy
    /// A front's answer about the leader.
    pub struct LeaderStatus {
        /// The leader.
        pub leader: LeaderInfo,
        /// Time since the last confirmed lease renewal was sent, as far as the answering front
        /// knows.
        pub confirmation_age: Duration,
    }
}

value! { copy
    /// The front that schedules.
    pub struct LeaderInfo {
        /// Increases with each change of leader.
        pub epoch: u64,
        /// Address of the leader's RPC server for other fronts and agents.
        pub address: SocketAddr,
    }
}
