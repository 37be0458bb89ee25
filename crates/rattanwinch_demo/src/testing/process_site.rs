use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use eyre::Result;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreLimits;

use super::Process;
use crate::SiteSize;
use crate::site::ANY_PORT;
use crate::site::WORKERS_PER_RACK;
use crate::site::site_config;
use crate::site::write_config;

/// The time in which every target is reachable from every entry after the start.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// A site whose entries and agents are processes; the store and the executors are stand-ins in
/// this process, so that they outlive every kill and can be asked what ran.
#[derive(Debug)]
pub struct ProcessSite {
    /// The platform's store.
    pub store: StandinStore,
    /// The executors, in the order of the agents.
    pub executors: Vec<StandinExecutor>,
    /// The entries.
    pub entries: Vec<Process>,
    /// The agents.
    pub agents: Vec<Process>,
    size: SiteSize,
    folder: PathBuf,
}

impl Drop for ProcessSite {
    fn drop(&mut self) {
        // The folder has settings files only; what stays is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ProcessSite {
    /// Starts everything and waits until each entry reaches each target.
    ///
    /// # Errors
    ///
    /// If something doesn't start in time.
    pub async fn start(name: &str, size: SiteSize) -> Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("rattanwinch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = StandinStore::start(ANY_PORT, StoreLimits::default()).await?;
        write_config(store.address(), &site_config(size)?).await?;
        let (executors, entries, agents) = (Vec::new(), Vec::new(), Vec::new());
        let mut site = Self {
            store,
            executors,
            entries,
            agents,
            size,
            folder,
        };
        for index in 0..size.entries {
            let entry = site.start_entry(index)?;
            site.entries.push(entry);
        }
        for index in 0..size.targets {
            let slots = usize::from(size.slots);
            site.executors
                .push(StandinExecutor::start(ANY_PORT, slots).await?);
            let agent = site.start_agent(index)?;
            site.agents.push(agent);
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    /// Starts the entry with the given number, as it was or anew.
    ///
    /// # Errors
    ///
    /// If it doesn't start in time.
    pub fn start_entry(&self, index: usize) -> Result<Process> {
        let text = format!(
            "[entry]\nentry = entry-{n}\nzone = az-{zone}\nhttp_listen = 127.0.0.1:0\n\
             rpc_listen = 127.0.0.1:0\ndrain_wait_ms = 200\n[store]\nendpoints = {store}\n",
            n = index + 1,
            zone = index % self.size.zones + 1,
            store = self.store.address(),
        );
        let settings = self.folder.join(format!("entry-{}.ini", index + 1));
        start(&settings, "rattanwinch-entry", &text)
    }

    /// Starts the agent beside the executor with the given number, as it was or anew.
    ///
    /// # Errors
    ///
    /// If it doesn't start in time.
    pub fn start_agent(&self, index: usize) -> Result<Process> {
        let zone = index % self.size.zones + 1;
        let rack = index / self.size.zones / WORKERS_PER_RACK;
        let seeds = self
            .entries
            .iter()
            .map(|entry| entry.address("rpc").map(|a| a.to_string()));
        let seeds = seeds.collect::<Result<Vec<_>>>()?.join(", ");
        let text = format!(
            "[agent]\ntarget = target-{index}\nzone = az-{zone}\nrack = rack-{zone}-{rack}\n\
             listen = 127.0.0.1:0\nexecutor = {executor}\nentries = {seeds}\nslots = {slots}\n",
            executor = self.executors[index].address(),
            slots = self.size.slots,
        );
        let settings = self.folder.join(format!("agent-{index}.ini"));
        start(&settings, "rattanwinch-agent", &text)
    }

    /// The URL of a path of the HTTP interface of an entry.
    ///
    /// # Panics
    ///
    /// If the entry logged no address, which a started one always does.
    #[must_use]
    pub fn url(&self, entry: usize, path: &str) -> String {
        let http = self.entries[entry]
            .address("http")
            .expect("a started entry has an address");
        format!("http://{http}{path}")
    }

    /// Waits until each entry is ready and connected to every target.
    ///
    /// # Errors
    ///
    /// If that takes longer than 10 s.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let waiting = async {
            for index in 0..self.entries.len() {
                while !self.is_ready(index).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        let waited = tokio::time::timeout(READY_LIMIT, waiting).await;
        waited.map_err(|_| eyre::eyre!("the site wasn't ready within {READY_LIMIT:?}"))
    }

    /// An entry counts the targets that it is connected to among its metrics.
    async fn is_ready(&self, index: usize) -> bool {
        let ready = reqwest::get(self.url(index, "/ready")).await;
        if !ready.is_ok_and(|response| response.status().is_success()) {
            return false;
        }
        let Ok(response) = reqwest::get(self.url(index, "/metrics")).await else {
            return false;
        };
        let text = response.text().await.unwrap_or_default();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("targets_connected "));
        let connected = line
            .and_then(|value| value.trim().parse::<f64>().ok())
            .unwrap_or(0.0);
        connected >= self.agents.len() as f64
    }
}

/// Writes the configuration of a site with `zones` availability zones and its organisations.
///
/// # Errors
///
/// If the store refuses.
pub async fn write_site_config(store: SocketAddr, zones: usize) -> Result<()> {
    let size = SiteSize {
        zones,
        ..SiteSize::default()
    };
    write_config(store, &site_config(size)?).await
}

fn start(settings: &Path, binary: &str, text: &str) -> Result<Process> {
    std::fs::write(settings, text)?;
    Process::start(binary, settings)
}
