use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::LogLevel;
use crate::SettingsFile;

/// What every daemon of a site is told of its VM and of the others; `docs/settings.md` explains
/// each key.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// The file that they were read from, and are read from again on request.
    pub source: PathBuf,
    /// The name of the VM.
    pub name: Arc<str>,
    /// The VM's address.
    pub ip: IpAddr,
    /// The port for calls between the site's own processes, the same on all VMs.
    pub peer_port: u16,
    /// VMs of fronts to ask first; some may be gone.
    pub seeds: Vec<IpAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The longest lease that targets grant.
    pub max_lease: Duration,
    /// What is logged.
    pub log_level: LogLevel,
}

impl VmSettings {
    /// Takes the settings from `file`, which was read from `source`; errors are kept in the file.
    pub fn take(file: &mut SettingsFile, source: &Path) -> Option<Self> {
        let name = file.required::<String>("vm", "name", "the VM's name");
        let ip = file.required("vm", "ip", "an IP address");
        let peer_port = file.required("vm", "peer_port", "a port number");
        let seeds = file.list::<SocketAddr>("peers", "seeds", "IP:PORT");
        let store = file.required("store", "address", "IP:PORT");
        let lease = file.required("limits", "longest_lease_ms", "milliseconds");
        let level = LogLevel::default();
        let log_level = file.optional("log", "level", level, LogLevel::EXPECTED);
        Some(Self {
            source: source.to_owned(),
            name: Arc::from(name?),
            ip: ip?,
            peer_port: peer_port?,
            seeds: seeds?.iter().map(SocketAddr::ip).collect(),
            store: store?,
            max_lease: Duration::from_millis(lease?),
            log_level: log_level?,
        })
    }

    /// Where this VM serves the site's other processes.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Where the seeds serve the site's other processes.
    pub fn seed_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let seeds = self.seeds.iter();
        seeds.map(|&seed| SocketAddr::new(seed, self.peer_port))
    }
}
