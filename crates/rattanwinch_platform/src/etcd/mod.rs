//! Client of the store's etcd v3 JSON gateway.

mod call_error;
mod call_kind;
mod call_rate_limiter;
mod committer;
mod day_lease;
mod encoding;
mod etcd_store;
mod gateway;
mod group;
mod pending_transaction;
mod process_lease_manager;
mod read_back;
mod store_revision;

pub use etcd_store::EtcdStore;
pub use etcd_store::MAX_VALUE_BYTES;
pub use gateway::CLIENT_NAME_HEADER;
pub use store_revision::StoreRevision;

use call_error::CallError;
use call_error::Result as CallResult;
use call_kind::CallKind;
use call_rate_limiter::CallRateLimiter;
use committer::Committer;
use day_lease::DayLease;
use encoding::GroupLeases;
use encoding::decode_group;
use encoding::decode_items;
use encoding::decode_range_op;
use encoding::encode_group;
use encoding::key_range;
use encoding::prefix_end;
use encoding::prefix_range;
use gateway::CallReservation;
use gateway::Gateway;
use group::choose_group;
use group::write_key;
use pending_transaction::PendingTransaction;
use process_lease_manager::ProcessLeaseManager;
use process_lease_manager::grant_lease;
use read_back::read_back;
