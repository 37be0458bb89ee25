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

/// The settings of a front daemon; `docs/settings.md` explains each key.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The file that they were read from, and are read from again on request.
    pub source: PathBuf,
    /// The name of the VM.
    pub vm: Arc<str>,
    /// The VM's address.
    pub ip: IpAddr,
    /// The port for calls between the site's own processes, the same on all VMs.
    pub peer_port: u16,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready_listen: SocketAddr,
    /// Fronts to ask first; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The advisor, if the site has one.
    pub advisor: Option<SocketAddr>,
    /// The longest lease that targets grant.
    pub longest_lease: Duration,
    /// How long the state of an ended job can be asked for.
    pub keep_ended: Duration,
    /// How long a stop may take.
    pub grace: Duration,
}

impl FrontSettings {
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
        let caller_listen = file.required("listen", "callers", "IP:PORT");
        let ready_listen = file.required("listen", "readiness", "IP:PORT");
        let seeds = file.list("peers", "seeds", "IP:PORT");
        let store = file.required("store", "address", "IP:PORT");
        let advisor = file.list::<SocketAddr>("advisor", "address", "IP:PORT");
        let lease = file.required("limits", "longest_lease_ms", "milliseconds");
        let keep_ended = file.required("limits", "keep_ended_s", "seconds");
        let grace = file.required("limits", "grace_s", "seconds");
        let settings = (|| {
            Some(Self {
                source: path.to_owned(),
                vm: Arc::from(vm?),
                ip: ip?,
                peer_port: peer_port?,
                caller_listen: caller_listen?,
                ready_listen: ready_listen?,
                seeds: seeds?,
                store: store?,
                advisor: advisor?.first().copied(),
                longest_lease: Duration::from_millis(lease?),
                keep_ended: Duration::from_secs(keep_ended?),
                grace: Duration::from_secs(grace?),
            })
        })();
        file.finish(settings)
    }
}
