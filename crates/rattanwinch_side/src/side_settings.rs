use std::net::SocketAddr;
use std::path::Path;

use rattanwinch_http_server::HttpLimits;
use rattanwinch_runtime::SettingsErrors;
use rattanwinch_runtime::SettingsFile;
use rattanwinch_runtime::VmSettings;

/// Result of reading the settings.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// The settings of a side daemon; `docs/settings.md` explains each key.
#[derive(Clone, Debug)]
pub struct SideSettings {
    /// The VM and its peers.
    pub vm: VmSettings,
    /// Address that receives the executor's heartbeats.
    pub executor_listen: SocketAddr,
    /// Limits of the requests that this process receives.
    pub http: HttpLimits,
}

impl SideSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Every error in the file.
    pub fn read(path: &Path) -> Result<Self> {
        let mut file = SettingsFile::open(path)?;
        let vm = VmSettings::from_file(&mut file, path);
        let executor_listen = file.required("listen", "executor", "IP:PORT");
        let http = HttpLimits::from_file(&mut file);
        let settings = (|| {
            Some(Self {
                vm: vm?,
                executor_listen: executor_listen?,
                http: http?,
            })
        })();
        file.finish(settings)
    }
}

impl AsRef<VmSettings> for SideSettings {
    fn as_ref(&self) -> &VmSettings {
        &self.vm
    }
}
