use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bon::Builder;
use rattanwinch_callers::MAX_BODY_BYTES;
use rattanwinch_http_server::HttpLimits;
use rattanwinch_platform::StoreSettings;
use rattanwinch_runtime::SettingsErrors;
use rattanwinch_runtime::SettingsFile;
use rattanwinch_types::EntryName;
use rattanwinch_types::ZoneName;

/// Placeholder for the address that the listener is bound to.
const SAME_AS_LISTEN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// As much as an entry of the largest planned region takes besides, 117 MB.
const DEFAULT_REQUEST_MEMORY: usize = 117 * 1024 * 1024;

/// The result of reading the settings.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// The settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct EntrySettings {
    /// The name of the entry, unique in the fleet.
    pub entry: EntryName,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// The listen address for callers, operators and metrics scrapers; port 0 picks a free port.
    pub http_listen: SocketAddr,
    /// The listen address for agents and other entries; port 0 picks a free port.
    pub rpc_listen: SocketAddr,
    /// The address at which agents and other entries reach the entry; with port 0, the default, the
    /// listen address.
    #[builder(default = SAME_AS_LISTEN_ADDRESS)]
    pub rpc_advertise: SocketAddr,
    /// The platform's store.
    pub store: StoreSettings,
    /// How long the entry keeps serving after it reports itself as not ready, so that the
    /// platform's load balancer stops sending first.
    #[builder(default = Duration::from_secs(5))]
    pub drain_wait: Duration,
    /// How long a planned shutdown waits for requests to end.
    #[builder(default = Duration::from_secs(60))]
    pub drain_limit: Duration,
    /// Limits of the requests that this process receives.
    #[builder(default = default_http_limits())]
    pub http: HttpLimits,
}

impl EntrySettings {
    /// Reads the settings from an INI file.
    ///
    /// # Errors
    ///
    /// All errors in the file.
    pub fn read(path: &Path) -> Result<Self> {
        Self::from_file(SettingsFile::open(path)?)
    }

    /// Reads the settings from an open file.
    ///
    /// # Errors
    ///
    /// All errors in the file.
    pub fn from_file(mut file: SettingsFile) -> Result<Self> {
        let address = "an IP address and port, such as 127.0.0.1:8080";
        let entry = file.required("entry", "entry", "an entry name");
        let zone = file.required("entry", "zone", "an availability zone name");
        let http_listen = file.required("entry", "http_listen", address);
        let rpc_listen = file.required("entry", "rpc_listen", address);
        let rpc_advertise =
            file.optional("entry", "rpc_advertise", SAME_AS_LISTEN_ADDRESS, address);
        let store = StoreSettings::from_file(&mut file);
        let drain_wait = file.millis("entry", "drain_wait_ms", Duration::from_secs(5));
        let drain_limit = file.millis("entry", "drain_limit_ms", Duration::from_secs(60));
        let http = default_http_limits().read(&mut file);
        let settings = (|| {
            Some(Self {
                entry: entry?,
                zone: zone?,
                http_listen: http_listen?,
                rpc_listen: rpc_listen?,
                rpc_advertise: rpc_advertise?,
                store: store?,
                drain_wait: drain_wait?,
                drain_limit: drain_limit?,
                http: http?,
            })
        })();
        file.finish(settings)
    }
}

/// Callers of an entry may send bodies of a megabyte.
fn default_http_limits() -> HttpLimits {
    HttpLimits {
        request_memory: DEFAULT_REQUEST_MEMORY,
        max_body_bytes: MAX_BODY_BYTES,
        ..HttpLimits::default()
    }
}
