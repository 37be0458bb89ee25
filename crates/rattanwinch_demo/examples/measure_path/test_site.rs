//! The servers under test: a site of separate processes, or a site in this process.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::Result;
use eyre::ensure;
use rattanwinch_demo::Site;
use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::Process;
use rattanwinch_demo::testing::read_metric;
use rattanwinch_demo::testing::write_site_config;
use rattanwinch_entry::EntryDaemon;
use rattanwinch_standins::StandinExecutor;

/// The time limit for every entry to connect to every target after the start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The polling interval while waiting for the site.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running site with the URLs to which requests are sent.
pub struct TestSite {
    /// The URLs of the executors.
    pub direct: Vec<String>,
    /// The URLs of the entries.
    pub entries: Vec<String>,
    /// The process ids of the entries; empty for a site in this process.
    pub entry_ids: Vec<u32>,
    /// The process ids of the agents; empty for a site in this process.
    pub agent_ids: Vec<u32>,
    /// Keeps the site running.
    _site: Running,
}

#[expect(dead_code, reason = "the values keep what they start running")]
enum Running {
    InProcess(Box<Site>),
    Processes(Vec<Process>),
}

impl TestSite {
    /// Starts all components in this process.
    ///
    /// # Errors
    ///
    /// If the site is not ready in time.
    pub async fn start_in_process(size: SiteSize) -> Result<Self> {
        let site = Site::start(size).await?;
        site.wait_until_ready(READY_TIMEOUT).await?;
        let executors = site.executors.iter().map(StandinExecutor::address);
        let entries = site.entries.iter().map(EntryDaemon::http_address);
        Ok(Self {
            direct: executors.map(requests_url).collect(),
            entries: entries.map(requests_url).collect(),
            entry_ids: Vec::new(),
            agent_ids: Vec::new(),
            _site: Running::InProcess(Box::new(site)),
        })
    }

    /// Starts the store, the executors, the entries and the agents as separate processes.
    ///
    /// # Errors
    ///
    /// If the site is not ready in time.
    pub async fn start_processes(size: SiteSize) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("rattanwinch-path-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let started = start_processes(&folder, size).await;
        // The daemons have read their settings files by now.
        std::fs::remove_dir_all(&folder)?;
        started
    }
}

async fn start_processes(folder: &Path, size: SiteSize) -> Result<TestSite> {
    let store = Process::start_standin("standin-store", &[])?;
    let store_address = store.address("listen")?;
    write_site_config(store_address, size.zones).await?;
    let (mut entries, mut agents, mut others) = (Vec::new(), Vec::new(), vec![store]);
    let (mut http_addresses, mut seeds) = (Vec::new(), String::new());
    for index in 0..size.entries {
        let text = format!(
            "[entry]\nentry = entry-{}\nzone = az-{}\nhttp_listen = 127.0.0.1:0\n\
             rpc_listen = 127.0.0.1:0\n[store]\nendpoints = {store_address}\n",
            index + 1,
            index % size.zones + 1
        );
        let entry = start(folder, "rattanwinch-entry", &text)?;
        http_addresses.push(entry.address("http")?);
        let comma = if index == 0 { "" } else { ", " };
        write!(seeds, "{comma}{}", entry.address("rpc")?)?;
        entries.push(entry);
    }
    let mut executors = Vec::new();
    for index in 0..size.targets {
        let slots = size.slots.to_string();
        let executor = Process::start_standin("standin-executor", &["--slots", &slots])?;
        let address = executor.address("listen")?;
        let zone = index % size.zones + 1;
        let text = format!(
            "[agent]\ntarget = target-{index}\nzone = az-{zone}\nrack = rack-{zone}\n\
             listen = 127.0.0.1:0\nexecutor = {address}\nentries = {seeds}\nslots = {slots}\n"
        );
        agents.push(start(folder, "rattanwinch-agent", &text)?);
        executors.push(address);
        others.push(executor);
    }
    let ready = tokio::time::timeout(
        READY_TIMEOUT,
        wait_until_ready(&http_addresses, size.targets),
    )
    .await;
    ensure!(
        ready.is_ok(),
        "the site was not ready within {READY_TIMEOUT:?}"
    );
    let entry_ids = entries.iter().map(Process::id).collect();
    let agent_ids = agents.iter().map(Process::id).collect();
    others.extend(entries.into_iter().chain(agents));
    Ok(TestSite {
        direct: executors.into_iter().map(requests_url).collect(),
        entries: http_addresses.into_iter().map(requests_url).collect(),
        entry_ids,
        agent_ids,
        _site: Running::Processes(others),
    })
}

async fn wait_until_ready(http_addresses: &[SocketAddr], targets: usize) {
    for http in http_addresses {
        loop {
            let connected =
                read_metric(format!("http://{http}/metrics"), "targets_connected").await;
            if connected.is_some_and(|connected| connected >= targets as f64) {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn start(folder: &Path, binary: &str, text: &str) -> Result<Process> {
    let settings = folder.join("settings.ini");
    std::fs::write(&settings, text)?;
    Process::start(binary, &settings)
}

fn requests_url(address: SocketAddr) -> String {
    format!("http://{address}/v1/requests")
}
