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
        /// The leader's share of a core, in per cent; zero if the answering front isn't the leader.
        pub cpu_percent: u32,
        /// The largest share of a core, in per cent, that a front known to the leader has; zero if
        /// it isn't known.
        pub largest_cpu_percent: u32,
    }
}

value! { copy
    /// A front as it introduces itself to others.
    pub struct FrontInfo {
        /// Address of its RPC server for other fronts and agents.
        pub address: SocketAddr,
        /// Its share of a core, in per cent.
        pub cpu_percent: u32,
        /// The store has answered it recently.
        pub can_lead: bool,
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
