use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use rattanwinch_runtime::SettingsFile;

/// Settings of the store client.
///
/// The fleet may use a tenth of the store's limits of 300 writes/s and 2,000 reads/s. The default
/// rate limits are a third of that, for three entries (section 1.4 of the design page).
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct StoreSettings {
    /// The addresses of the store; the client switches to the next one after a failed call.
    pub endpoints: Vec<SocketAddr>,
    /// The time-out of one call.
    #[builder(default = Duration::from_secs(1))]
    pub call_timeout: Duration,
    /// The time-out of one read. A read without a response after `call_timeout` is hedged by a
    /// second one, since its connection may be dead; the first response is used.
    #[builder(default = Duration::from_secs(4))]
    pub read_timeout: Duration,
    /// The longest time that a call or transaction waits in the rate limiter's queue.
    #[builder(default = Duration::from_secs(2))]
    pub max_wait: Duration,
    /// The maximum number of write calls in any one-second window.
    #[builder(default = 10)]
    pub writes_per_second: u32,
    /// The maximum number of read calls in any one-second window. A fifth of them is kept for
    /// snapshots.
    #[builder(default = 60)]
    pub reads_per_second: u32,
    /// The time to live of the process lease; the store counts it in whole seconds.
    #[builder(default = Duration::from_secs(10))]
    pub lease_ttl: Duration,
    /// The interval between renewals of the process lease.
    #[builder(default = Duration::from_secs(3))]
    pub lease_interval: Duration,
}

impl StoreSettings {
    /// Reads the settings from the section `[store]` of an open file.
    ///
    /// Returns `None` if a setting is invalid; `finish` on the file then returns the errors.
    pub fn from_file(file: &mut SettingsFile) -> Option<Self> {
        let address = "an IP address and port, such as 127.0.0.1:2379";
        let endpoints: Option<Vec<SocketAddr>> = file.list("store", "endpoints", address);
        if endpoints.as_ref().is_some_and(Vec::is_empty) {
            file.add_error(
                "store",
                "endpoints",
                "nothing",
                "at least one IP address and port",
            );
        }
        let call_timeout = read_positive_millis(file, "call_timeout_ms", Duration::from_secs(1));
        let read_timeout = read_positive_millis(file, "read_timeout_ms", Duration::from_secs(4));
        let max_wait = file.millis("store", "max_wait_ms", Duration::from_secs(2));
        let writes_per_second = read_positive(file, "writes_per_second", 10);
        let reads_per_second = read_positive(file, "reads_per_second", 60);
        let lease_ttl = read_positive(file, "lease_ttl_s", 10);
        let lease_interval =
            read_positive_millis(file, "lease_interval_ms", Duration::from_secs(3));
        let lease_ttl = lease_ttl.map(|seconds| Duration::from_secs(u64::from(seconds)));
        if lease_interval >= lease_ttl && lease_ttl.is_some() {
            let expected = "less than lease_ttl_s";
            file.add_error("store", "lease_interval_ms", "a longer time", expected);
        }
        Some(Self {
            endpoints: endpoints.filter(|endpoints| !endpoints.is_empty())?,
            call_timeout: call_timeout?,
            read_timeout: read_timeout?,
            max_wait: max_wait?,
            writes_per_second: writes_per_second?,
            reads_per_second: reads_per_second?,
            lease_ttl: lease_ttl?,
            lease_interval: lease_interval.filter(|interval| Some(*interval) < lease_ttl)?,
        })
    }
}

/// Reads a positive number. A rate limit or duration of zero would reject every call.
fn read_positive(file: &mut SettingsFile, key: &str, default: u32) -> Option<u32> {
    let value = file.optional("store", key, default, "1 or more");
    if value == Some(0) {
        file.add_error("store", key, "0", "1 or more");
        return None;
    }
    value
}

fn read_positive_millis(file: &mut SettingsFile, key: &str, default: Duration) -> Option<Duration> {
    let value = file.millis("store", key, default);
    if value == Some(Duration::ZERO) {
        file.add_error("store", key, "0", "1 or more milliseconds");
        return None;
    }
    value
}
