//! What tests of a whole site share: requests, waits with a bound, and daemons as processes.

mod http_calls;
mod process;
mod process_site;

pub use http_calls::HttpAnswer;
pub use http_calls::count_runs;
pub use http_calls::deadline_in;
pub use http_calls::plain_body;
pub use http_calls::post;
pub use http_calls::until;
pub use process::Process;
pub use process::Signal;
pub use process_site::ProcessSite;
pub use process_site::write_site_config;
