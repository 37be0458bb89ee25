use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::LogLevel;
use crate::SettingsFile;

/// Settings of the VM and its peers that all daemons of a site share; `docs/settings.md` explains
/// each key.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// The settings file, which is read again on reload.
    pub source: PathBuf,
    /// The name of the VM.
    pub name: Arc<str>,
    /// The VM's address.
    pub ip: IpAddr,
    /// The port for RPC between the site's own processes, the same on all VMs.
    pub peer_port: u16,
    /// VMs of fronts to contact first; some may no longer exist.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum length of a lease on a target.
    pub max_lease: Duration,
    /// The lowest severity of log records written.
    pub log_level: LogLevel,
}

impl VmSettings {
    /// Reads the settings from `file`, which was opened from `source`; errors are collected in
    /// `file`.
    pub fn from_file(file: &mut SettingsFile, source: &Path) -> Option<Self> {
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

    /// Address of this VM's RPC server for the site's other processes.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Addresses of the seeds' RPC servers.
    pub fn seed_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let seeds = self.seeds.iter();
        seeds.map(|&seed| SocketAddr::new(seed, self.peer_port))
    }
}
