//! The client of the store's JSON gateway.

mod call_budget;
mod call_error;
mod call_kind;
mod committer;
mod day_lease;
mod encoding;
mod etcd_store;
mod gateway;
mod group;
mod lease_keeper;
mod pending;
mod read_back;
mod store_view;

pub use etcd_store::EtcdStore;
pub use etcd_store::MAX_VALUE_BYTES;
pub use gateway::CLIENT_NAME_HEADER;
pub use store_view::StoreView;

use call_budget::CallBudget;
use call_error::CallError;
use call_error::Result as CallResult;
use call_kind::CallKind;
use committer::Committer;
use day_lease::DayLease;
use encoding::GroupLeases;
use encoding::decode_group;
use encoding::decode_items;
use encoding::decode_range_op;
use encoding::encode_group;
use encoding::prefix_end;
use encoding::range_of;
use encoding::range_of_prefix;
use gateway::Gateway;
use gateway::Turn;
use group::choose_group;
use group::key_of;
use lease_keeper::LeaseKeeper;
use lease_keeper::grant_lease;
use pending::Pending;
use read_back::read_back;
