//! Selection of the entry that decides an availability zone.
//!
//! [`Peers`] detects entries that are suspected dead; [`Role`] is the role of one entry in one
//! zone. Safety depends on neither: the store's compare-and-swap and the agents' record of the
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
pub use renewal::MAX_RENEWAL_AFTER_TAKEOVER;
pub use renewal::RENEWAL_CONFIRMATION_TTL;
pub use renewal::may_renew;
pub use state::Adopting;
pub use state::DeciderKey;
pub use state::Deciding;
pub use state::Following;
pub use state::Role;
pub use state::RoleView;
pub use state::TAKEOVER_RANK_DELAY;
pub use zone_reachability::ZONE_LOST_TIMEOUT;
pub use zone_reachability::ZoneReachability;
