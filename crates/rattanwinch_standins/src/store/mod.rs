//! The stand-in store: etcd's key-value state in memory, behind the JSON gateway.

mod admin_routes;
mod call_counter;
mod gateway_routes;
mod kv_error;
mod kv_lease;
mod kv_state;
mod kv_txn;
mod rate_window;
mod shared_state;
mod standin_store;
mod store_counts;
mod store_faults;
mod store_limits;
mod watch_route;

pub use kv_error::KvError;
pub use kv_error::Result as KvResult;
pub use kv_state::KvState;
pub use standin_store::StandinStore;
pub use store_counts::StoreCounts;
pub use store_faults::StoreFaults;
pub use store_faults::StoreMode;
pub use store_limits::StoreLimits;

use call_counter::CallClass;
use call_counter::CallCounter;
use rate_window::RateWindow;
use shared_state::SharedState;
