use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bon::Builder;
use rattanwinch_http_server::HttpLimits;
use rattanwinch_runtime::SettingsErrors;
use rattanwinch_runtime::SettingsFile;
use rattanwinch_types::RackName;
use rattanwinch_types::TargetName;
use rattanwinch_types::WORKER_ACCELERATORS;
use rattanwinch_types::ZoneName;

/// Placeholder for the address that the listener is bound to.
const SAME_AS_LISTEN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The result of reading the settings.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// The settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct AgentSettings {
    /// The name of the target, unique in the fleet.
    pub target: TargetName,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// The target's rack.
    pub rack: RackName,
    /// The listen address for calls from entries; port 0 picks a free port.
    pub listen: SocketAddr,
    /// The address at which entries reach the agent; with port 0, the default, the listen address.
    #[builder(default = SAME_AS_LISTEN_ADDRESS)]
    pub advertise: SocketAddr,
    /// The address of the executor on the same VM.
    pub executor: SocketAddr,
    /// The entries that receive the first heartbeats; their responses list the others.
    pub entries: Vec<SocketAddr>,
    /// The maximum number of plain requests that the executor runs concurrently.
    #[builder(default = 8)]
    pub slots: u16,
    /// The maximum number of plain requests that wait for a slot.
    #[builder(default = 60)]
    pub queue: u32,
    /// The number of accelerators of the worker.
    #[builder(default = WORKER_ACCELERATORS)]
    pub accelerators: u8,
    /// The interval of heartbeats to each entry.
    #[builder(default = Duration::from_millis(500))]
    pub heartbeat_interval: Duration,
    /// How long a planned shutdown waits for plain requests to end.
    #[builder(default = Duration::from_secs(60))]
    pub drain_limit: Duration,
    /// Limits of the requests that this process receives.
    #[builder(default)]
    pub http: HttpLimits,
}

impl AgentSettings {
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
        let address = "an IP address and port, such as 127.0.0.1:7000";
        let target = file.required("agent", "target", "a target name");
        let zone = file.required("agent", "zone", "an availability zone name");
        let rack = file.required("agent", "rack", "a rack name");
        let listen = file.required("agent", "listen", address);
        let advertise = file.optional("agent", "advertise", SAME_AS_LISTEN_ADDRESS, address);
        let executor = file.required("agent", "executor", address);
        let entries: Option<Vec<SocketAddr>> = file.list("agent", "entries", address);
        if entries.as_ref().is_some_and(Vec::is_empty) {
            file.add_error(
                "agent",
                "entries",
                "nothing",
                "at least one IP address and port",
            );
        }
        let slots = file.optional("agent", "slots", 8, "1 to 65535");
        let queue = file.optional("agent", "queue", 60, "a whole number");
        let accelerators = file.optional(
            "agent",
            "accelerators",
            WORKER_ACCELERATORS,
            "0, 1, 2, 4 or 8",
        );
        if accelerators.is_some_and(|count| !matches!(count, 0 | 1 | 2 | 4 | 8)) {
            file.add_error("agent", "accelerators", "another number", "0, 1, 2, 4 or 8");
        }
        let heartbeat_interval =
            file.millis("agent", "heartbeat_interval_ms", Duration::from_millis(500));
        let drain_limit = file.millis("agent", "drain_limit_ms", Duration::from_secs(60));
        let http = HttpLimits::from_file(&mut file);
        let settings = (|| {
            Some(Self {
                target: target?,
                zone: zone?,
                rack: rack?,
                listen: listen?,
                advertise: advertise?,
                executor: executor?,
                entries: entries?,
                slots: slots?,
                queue: queue?,
                accelerators: accelerators?,
                heartbeat_interval: heartbeat_interval?,
                drain_limit: drain_limit?,
                http: http?,
            })
        })();
        file.finish(settings)
    }
}
