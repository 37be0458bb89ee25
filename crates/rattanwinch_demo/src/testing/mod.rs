//! Utilities for end-to-end tests: requests, bounded waits, daemons as processes, and fault
//! injection on connections.

mod attempt_log;
mod fault_proxies;
mod fault_proxy;
mod gang_calls;
mod http_calls;
mod load;
mod operator;
mod process;
mod process_site;

pub use attempt_log::AttemptLog;
pub use fault_proxies::FaultProxies;
pub use fault_proxy::Blackhole;
pub use fault_proxy::FaultProxy;
pub use gang_calls::gang_body;
pub use http_calls::HttpAnswer;
pub use http_calls::count_runs;
pub use http_calls::deadline_unix_ms;
pub use http_calls::plain_body;
pub use http_calls::post;
pub use http_calls::read_metric;
pub use http_calls::wait_until;
pub use load::LoadGenerator;
pub use operator::Operator;
pub use operator::close_zone_at;
pub use process::Process;
pub use process::Signal;
pub use process_site::ProcessSite;
pub use process_site::write_site_config;
