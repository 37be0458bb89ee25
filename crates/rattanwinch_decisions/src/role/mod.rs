//! Which entry decides an availability zone.
//!
//! [`Peers`] says which entries are suspected to be dead; [`Role`] is one entry's part in one
//! zone. Safety doesn't depend on either: the store's comparison and the agents' memory of the
//! highest epoch fence an entry that is wrong about its role.

mod peers;
mod rank;
mod renewal;
mod state;
mod zone_reachability;

pub use peers::PEER_SUSPECT_TIMEOUT;
pub use peers::PING_INTERVAL;
pub use peers::Peers;
pub use rank::rank_entries;
pub use renewal::RENEWS_UNCONFIRMED_FOR;
pub use renewal::REPLACED_RENEWS_FOR;
pub use renewal::may_renew;
pub use state::Adopting;
pub use state::DeciderKey;
pub use state::Deciding;
pub use state::Following;
pub use state::RANK_DELAY;
pub use state::Role;
pub use state::RoleView;
pub use zone_reachability::ZONE_LOST_AFTER;
pub use zone_reachability::ZoneReachability;
