//! What tests of a whole site share: requests, waits with a bound, and daemons as processes.

mod attempt_log;
mod gang_calls;
mod http_calls;
mod load;
mod operator;
mod process;
mod process_site;
mod relay;
mod relays;

pub use attempt_log::AttemptLog;
pub use gang_calls::gang_body;
pub use http_calls::HttpAnswer;
pub use http_calls::count_runs;
pub use http_calls::deadline_in;
pub use http_calls::metric;
pub use http_calls::plain_body;
pub use http_calls::post;
pub use http_calls::until;
pub use load::Load;
pub use operator::Operator;
pub use operator::close_zone_at;
pub use process::Process;
pub use process::Signal;
pub use process_site::ProcessSite;
pub use process_site::write_site_config;
pub use relay::Relay;
pub use relay::Silence;
pub use relays::Relays;
