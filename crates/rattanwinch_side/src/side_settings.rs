use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_runtime::SettingsErrors;
use rattanwinch_runtime::SettingsFile;

/// What reading the settings returns.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// The settings of a side daemon; `docs/settings.md` explains each key.
#[derive(Clone, Debug)]
pub struct SideSettings {
    /// The file that they were read from, and are read from again on request.
    pub source: PathBuf,
    /// The name of the VM.
    pub vm: Arc<str>,
    /// The VM's address.
    pub ip: IpAddr,
    /// The port for calls between the site's own processes, the same on all VMs.
    pub peer_port: u16,
    /// Where the executor sends its heartbeats.
    pub executor_listen: SocketAddr,
    /// Fronts to ask for the scheduler first; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The longest lease that the executor grants.
    pub longest_lease: Duration,
}

impl SideSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Every error in the file.
    pub fn read(path: &Path) -> Result<Self> {
        let mut file = SettingsFile::open(path)?;
        let vm = file.required::<String>("vm", "name", "the VM's name");
        let ip = file.required("vm", "ip", "an IP address");
        let peer_port = file.required("vm", "peer_port", "a port number");
        let executor_listen = file.required("listen", "executor", "IP:PORT");
        let seeds = file.list("peers", "seeds", "IP:PORT");
        let store = file.required("store", "address", "IP:PORT");
        let lease = file.required("limits", "longest_lease_ms", "milliseconds");
        let settings = (|| {
            Some(Self {
                source: path.to_owned(),
                vm: Arc::from(vm?),
                ip: ip?,
                peer_port: peer_port?,
                executor_listen: executor_listen?,
                seeds: seeds?,
                store: store?,
                longest_lease: Duration::from_millis(lease?),
            })
        })();
        file.finish(settings)
    }
}
