use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rattanwinch_http_server::HttpLimits;
use rattanwinch_runtime::SettingsErrors;
use rattanwinch_runtime::SettingsFile;
use rattanwinch_runtime::VmSettings;

/// Result of reading the settings.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// The shortest reclaim time in the users' requirements.
const DEFAULT_RECLAIM_MS: u64 = 2700;

/// The slowest stop in the users' requirements.
const DEFAULT_STOP_MS: u64 = 900;

/// The settings of a front daemon; `docs/settings.md` explains each key.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The VM and its peers.
    pub vm: VmSettings,
    /// Share of a core that this process may use.
    pub cpu_share: f64,
    /// Address that callers connect to.
    pub caller_listen: SocketAddr,
    /// Address of the balancer's readiness checks.
    pub ready_listen: SocketAddr,
    /// Address of the advisor, if the site has one.
    pub advisor: Option<SocketAddr>,
    /// Address of the machine service, if the site has one.
    pub machines: Option<SocketAddr>,
    /// How long callers can query the state of an ended job.
    pub ended_job_retention: Duration,
    /// Maximum duration of a graceful stop.
    pub grace: Duration,
    /// Time within which guaranteed capacity is reclaimed.
    pub reclaim_time: Duration,
    /// Longest time that a target takes to stop a run.
    pub stop_time: Duration,
    /// Limits of the requests that this process receives.
    pub http: HttpLimits,
}

impl FrontSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Every error in the file.
    pub fn read(path: &Path) -> Result<Self> {
        let mut file = SettingsFile::open(path)?;
        let vm = VmSettings::from_file(&mut file, path);
        let cpu_share = file.optional("vm", "cpu_share", 1.0, "a share of a core");
        let caller_listen = file.required("listen", "callers", "IP:PORT");
        let ready_listen = file.required("listen", "readiness", "IP:PORT");
        let advisor = file.list::<SocketAddr>("advisor", "address", "IP:PORT");
        let machines = file.list::<SocketAddr>("machines", "address", "IP:PORT");
        let ended_job_retention = file.required("limits", "keep_ended_s", "seconds");
        let grace = file.required("limits", "grace_s", "seconds");
        let reclaim_ms = file.optional("limits", "reclaim_ms", DEFAULT_RECLAIM_MS, "milliseconds");
        let stop_ms = file.optional("limits", "stop_ms", DEFAULT_STOP_MS, "milliseconds");
        let http = HttpLimits::from_file(&mut file);
        let settings = (|| {
            Some(Self {
                vm: vm?,
                cpu_share: cpu_share?,
                caller_listen: caller_listen?,
                ready_listen: ready_listen?,
                advisor: advisor?.first().copied(),
                machines: machines?.first().copied(),
                ended_job_retention: Duration::from_secs(ended_job_retention?),
                grace: Duration::from_secs(grace?),
                reclaim_time: Duration::from_millis(reclaim_ms?),
                stop_time: Duration::from_millis(stop_ms?),
                http: http?,
            })
        })();
        file.finish(settings)
    }
}

impl FrontSettings {
    /// The share of a core in per cent, as it is told to other fronts.
    #[must_use]
    pub fn cpu_percent(&self) -> u32 {
        (self.cpu_share * 100.0).round() as u32
    }
}

impl AsRef<VmSettings> for FrontSettings {
    fn as_ref(&self) -> &VmSettings {
        &self.vm
    }
}
