//! The stand-in for the platform's store.

mod admin_routes;
mod call_counter;
mod gateway_routes;
mod kv_lease;
mod kv_refusal;
mod kv_state;
mod kv_txn;
mod rate_window;
mod shared;
mod standin_store;
mod store_counts;
mod store_faults;
mod store_limits;
mod watch_route;

pub use kv_refusal::KvRefusal;
pub use kv_refusal::Result as KvResult;
pub use kv_state::KvState;
pub use standin_store::StandinStore;
pub use store_counts::StoreCounts;
pub use store_faults::StoreFaults;
pub use store_faults::StoreMode;
pub use store_limits::StoreLimits;

use call_counter::CallClass;
use call_counter::CallCounter;
use rate_window::RateWindow;
use shared::Shared;
