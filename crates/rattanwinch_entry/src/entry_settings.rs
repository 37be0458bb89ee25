use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bon::Builder;
use rattanwinch_platform::StoreSettings;
use rattanwinch_runtime::SettingsErrors;
use rattanwinch_runtime::SettingsFile;
use rattanwinch_types::EntryName;
use rattanwinch_types::ZoneName;

/// Stands for the address that a listener has taken.
const AS_LISTENING: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// What reading the settings returns.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// The settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct EntrySettings {
    /// The name of the entry; unique in the fleet.
    pub entry: EntryName,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Where callers, operators and scrapers connect; port 0 takes a free one.
    pub http_listen: SocketAddr,
    /// Where agents and other entries connect; port 0 takes a free one.
    pub rpc_listen: SocketAddr,
    /// Where agents and other entries reach the entry; with port 0, the default, where it listens.
    #[builder(default = AS_LISTENING)]
    pub rpc_advertise: SocketAddr,
    /// The platform's store.
    pub store: StoreSettings,
    /// How long the entry goes on serving after it has become not ready, so that the platform's
    /// balancer stops sending first.
    #[builder(default = Duration::from_secs(5))]
    pub drain_wait: Duration,
    /// How long a planned stop waits for requests to end.
    #[builder(default = Duration::from_secs(60))]
    pub drain_limit: Duration,
}

impl EntrySettings {
    /// Reads the settings from an INI file.
    ///
    /// # Errors
    ///
    /// Every error in the file at once.
    pub fn read(path: &Path) -> Result<Self> {
        Self::from_file(SettingsFile::open(path)?)
    }

    /// Takes the settings from an open file.
    ///
    /// # Errors
    ///
    /// Every error in the file at once.
    pub fn from_file(mut file: SettingsFile) -> Result<Self> {
        let address = "an IP address and port, such as 127.0.0.1:8080";
        let entry = file.required("entry", "entry", "an entry name");
        let zone = file.required("entry", "zone", "an availability zone name");
        let http_listen = file.required("entry", "http_listen", address);
        let rpc_listen = file.required("entry", "rpc_listen", address);
        let rpc_advertise = file.optional("entry", "rpc_advertise", AS_LISTENING, address);
        let store = StoreSettings::from_file(&mut file);
        let drain_wait = file.millis("entry", "drain_wait_ms", Duration::from_secs(5));
        let drain_limit = file.millis("entry", "drain_limit_ms", Duration::from_secs(60));
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
            })
        })();
        file.finish(settings)
    }
}
