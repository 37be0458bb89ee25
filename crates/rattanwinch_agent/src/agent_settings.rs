use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bon::Builder;
use rattanwinch_runtime::SettingsErrors;
use rattanwinch_runtime::SettingsFile;
use rattanwinch_types::RackName;
use rattanwinch_types::TargetName;
use rattanwinch_types::WORKER_ACCELERATORS;
use rattanwinch_types::ZoneName;

/// Stands for the address that a listener has taken.
const AS_LISTENING: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// What reading the settings returns.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// The settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct AgentSettings {
    /// The name of the target; unique in the fleet.
    pub target: TargetName,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// The target's rack.
    pub rack: RackName,
    /// Where the agent takes calls; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where entries reach the agent; with port 0, the default, where it listens.
    #[builder(default = AS_LISTENING)]
    pub advertise: SocketAddr,
    /// Where the executor on the same VM takes calls.
    pub executor: SocketAddr,
    /// Entries to announce to first; the others are learnt from their responses.
    pub entries: Vec<SocketAddr>,
    /// Plain requests that the executor runs at once.
    #[builder(default = 8)]
    pub slots: u16,
    /// Plain requests that may wait for a slot.
    #[builder(default = 60)]
    pub queue: u32,
    /// The accelerators of the worker.
    #[builder(default = WORKER_ACCELERATORS)]
    pub accelerators: u8,
    /// The time between two heartbeats to each entry.
    #[builder(default = Duration::from_millis(500))]
    pub heartbeat_interval: Duration,
    /// How long a planned stop waits for plain requests to end.
    #[builder(default = Duration::from_secs(60))]
    pub drain_limit: Duration,
}

impl AgentSettings {
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
        let address = "an IP address and port, such as 127.0.0.1:7000";
        let target = file.required("agent", "target", "a target name");
        let zone = file.required("agent", "zone", "an availability zone name");
        let rack = file.required("agent", "rack", "a rack name");
        let listen = file.required("agent", "listen", address);
        let advertise = file.optional("agent", "advertise", AS_LISTENING, address);
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
            })
        })();
        file.finish(settings)
    }
}
