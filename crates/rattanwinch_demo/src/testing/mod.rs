//! What tests of a whole site share: requests, waits with a bound, and daemons as processes.

mod attempt_log;
mod gang_calls;
mod http_calls;
mod process;
mod process_site;

pub use attempt_log::AttemptLog;
pub use gang_calls::gang_body;
pub use http_calls::HttpAnswer;
pub use http_calls::count_runs;
pub use http_calls::deadline_in;
pub use http_calls::plain_body;
pub use http_calls::post;
pub use http_calls::until;
pub use process::Process;
pub use process::Signal;
pub use process_site::ProcessSite;
