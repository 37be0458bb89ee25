use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rattanwinch_runtime::SettingsErrors;
use rattanwinch_runtime::SettingsFile;
use rattanwinch_runtime::VmSettings;

/// What reading the settings returns.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// The settings of a front daemon; `docs/settings.md` explains each key.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The VM and its peers.
    pub vm: VmSettings,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready_listen: SocketAddr,
    /// The advisor, if the site has one.
    pub advisor: Option<SocketAddr>,
    /// The service that keeps the machines, if the site has one.
    pub machines: Option<SocketAddr>,
    /// How long the state of an ended job can be asked for.
    pub ended_job_retention: Duration,
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
        let vm = VmSettings::take(&mut file, path);
        let caller_listen = file.required("listen", "callers", "IP:PORT");
        let ready_listen = file.required("listen", "readiness", "IP:PORT");
        let advisor = file.list::<SocketAddr>("advisor", "address", "IP:PORT");
        let machines = file.list::<SocketAddr>("machines", "address", "IP:PORT");
        let ended_job_retention = file.required("limits", "keep_ended_s", "seconds");
        let grace = file.required("limits", "grace_s", "seconds");
        let settings = (|| {
            Some(Self {
                vm: vm?,
                caller_listen: caller_listen?,
                ready_listen: ready_listen?,
                advisor: advisor?.first().copied(),
                machines: machines?.first().copied(),
                ended_job_retention: Duration::from_secs(ended_job_retention?),
                grace: Duration::from_secs(grace?),
            })
        })();
        file.finish(settings)
    }
}

impl AsRef<VmSettings> for FrontSettings {
    fn as_ref(&self) -> &VmSettings {
        &self.vm
    }
}
