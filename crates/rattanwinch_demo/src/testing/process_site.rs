use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use eyre::ContextCompat as _;
use eyre::Result;
use rattanwinch_decisions::rank_entries;
use rattanwinch_platform::Store as _;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::DeciderRecord;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreLimits;
use rattanwinch_types::EntryName;
use rattanwinch_types::ZoneName;

use super::FaultProxies;
use super::FaultProxy;
use super::Process;
use crate::SiteSize;
use crate::site::ANY_PORT;
use crate::site::WORKERS_PER_RACK;
use crate::site::site_config;
use crate::site::store_client;
use crate::site::write_config;

/// The time limit for every entry to connect to every target after the start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A site whose entries and agents are separate processes. The store and the executors are
/// stand-ins in this process, so that they survive killed daemons and their records can be read.
#[derive(Debug)]
pub struct ProcessSite {
    /// The stand-in store.
    pub store: StandinStore,
    /// The executors, in the order of the agents.
    pub executors: Vec<StandinExecutor>,
    /// The entries.
    pub entries: Vec<Process>,
    /// The agents.
    pub agents: Vec<Process>,
    /// The proxies between the processes, if the site was started with them.
    pub proxies: Option<FaultProxies>,
    size: SiteSize,
    folder: PathBuf,
}

impl Drop for ProcessSite {
    fn drop(&mut self) {
        // The folder contains only settings files, so a failed removal is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ProcessSite {
    /// Starts all components and waits until each entry is connected to each target.
    ///
    /// # Errors
    ///
    /// If a component does not start in time.
    pub async fn start(name: &str, size: SiteSize) -> Result<Self> {
        Self::start_with(name, size, false).await
    }

    /// Like [`Self::start`], with a proxy in front of each entry, each agent and, for each entry,
    /// the store.
    ///
    /// # Errors
    ///
    /// If a component does not start in time.
    pub async fn start_with_proxies(name: &str, size: SiteSize) -> Result<Self> {
        Self::start_with(name, size, true).await
    }

    async fn start_with(name: &str, size: SiteSize, with_proxies: bool) -> Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("rattanwinch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = StandinStore::start(ANY_PORT, StoreLimits::default()).await?;
        write_config(store.address(), &site_config(size)?).await?;
        let (executors, entries, agents) = (Vec::new(), Vec::new(), Vec::new());
        let proxies = if with_proxies {
            Some(FaultProxies::start(size, store.address()).await?)
        } else {
            None
        };
        let mut site = Self {
            store,
            executors,
            entries,
            agents,
            proxies,
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

    /// Starts or restarts the entry with the given index.
    ///
    /// # Errors
    ///
    /// If it does not start in time.
    pub fn start_entry(&self, index: usize) -> Result<Process> {
        let proxies = self.proxies.as_ref();
        let proxy = proxies.map(|proxies| &proxies.entries[index]);
        let store = proxies.map_or_else(
            || self.store.address(),
            |proxies| proxies.stores[index].address(),
        );
        let text = format!(
            "[entry]\nentry = entry-{n}\nzone = az-{zone}\nhttp_listen = 127.0.0.1:0\n\
             rpc_listen = 127.0.0.1:0\n{advertise_setting}drain_wait_ms = 200\n\
             [store]\nendpoints = {store}\n",
            n = index + 1,
            zone = index % self.size.zones + 1,
            advertise_setting = advertise_setting("rpc_advertise", proxy),
        );
        let settings = self.folder.join(format!("entry-{}.ini", index + 1));
        let entry = start(&settings, "rattanwinch-entry", &text)?;
        set_target(proxy, entry.address("rpc")?);
        Ok(entry)
    }

    /// Starts or restarts the agent of the executor with the given index.
    ///
    /// # Errors
    ///
    /// If it does not start in time.
    pub fn start_agent(&self, index: usize) -> Result<Process> {
        let zone = index % self.size.zones + 1;
        let rack = index / self.size.zones / WORKERS_PER_RACK;
        let seeds = self.entries.iter().enumerate().map(|(number, entry)| {
            let proxy = self
                .proxies
                .as_ref()
                .map(|proxies| &proxies.entries[number]);
            let address = proxy.map_or_else(|| entry.address("rpc"), |r| Ok(r.address()));
            address.map(|address| address.to_string())
        });
        let seeds = seeds.collect::<Result<Vec<_>>>()?.join(", ");
        let proxy = self.proxies.as_ref().map(|proxies| &proxies.agents[index]);
        let text = format!(
            "[agent]\ntarget = target-{index}\nzone = az-{zone}\nrack = rack-{zone}-{rack}\n\
             listen = 127.0.0.1:0\n{advertise_setting}executor = {executor}\nentries = {seeds}\n\
             slots = {slots}\n",
            advertise_setting = advertise_setting("advertise", proxy),
            executor = self.executors[index].address(),
            slots = self.size.slots,
        );
        let settings = self.folder.join(format!("agent-{index}.ini"));
        let agent = start(&settings, "rattanwinch-agent", &text)?;
        set_target(proxy, agent.address("listen")?);
        Ok(agent)
    }

    /// Returns the URL of a path of an entry's HTTP API.
    ///
    /// # Panics
    ///
    /// Never: a started entry has logged its address.
    #[must_use]
    pub fn url(&self, entry: usize, path: &str) -> String {
        let http = self.entries[entry]
            .address("http")
            .expect("a started entry has an address");
        format!("http://{http}{path}")
    }

    /// Returns the index of the entry that is the decider of a zone according to the store.
    ///
    /// # Errors
    ///
    /// If the store cannot be read or contains no decider for the zone.
    pub async fn decider(&self, zone: &str) -> Result<usize> {
        let key = keys::decider(&ZoneName::new(zone)?);
        let stored = store_client(self.store.address(), "test")
            .read(&key)
            .await?;
        let stored = stored.wrap_err("the zone has no decider")?;
        let record = DeciderRecord::decode(&stored.value)?;
        let name = record.entry.to_string();
        let number = name.strip_prefix("entry-").wrap_err("unknown entry")?;
        Ok(number.parse::<usize>()? - 1)
    }

    /// Returns the index of the entry that is first to take over a zone from the entry `decider`.
    ///
    /// # Errors
    ///
    /// If there is no other entry.
    pub fn successor(&self, zone: &str, decider: usize) -> Result<usize> {
        let others = (0..self.entries.len()).filter(|index| *index != decider);
        let names = others.map(|index| EntryName::new(format!("entry-{}", index + 1)));
        let names = names.collect::<std::result::Result<Vec<_>, _>>()?;
        let ranked = rank_entries(&ZoneName::new(zone)?, names);
        let first = ranked.first().wrap_err("there is no other entry")?;
        let number = first.as_str().strip_prefix("entry-");
        Ok(number.wrap_err("unknown entry")?.parse::<usize>()? - 1)
    }

    /// Checks that no daemon has logged a violated invariant or a panic.
    ///
    /// # Panics
    ///
    /// If a daemon has.
    pub fn assert_no_faults(&self) {
        let processes = self.entries.iter().chain(&self.agents);
        let faults: Vec<String> = processes.flat_map(Process::faults).collect();
        assert!(faults.is_empty(), "faults in daemons: {faults:#?}");
    }

    /// Waits until each entry is ready and connected to every target.
    ///
    /// # Errors
    ///
    /// If the site is not ready within 10 s.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let waiting = async {
            for index in 0..self.entries.len() {
                while !self.is_ready(index).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, waiting).await;
        waited.map_err(|_| eyre::eyre!("the site was not ready within {READY_TIMEOUT:?}"))
    }

    /// Whether an entry is ready and, according to its metrics, connected to every target.
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

/// Writes the configuration of a site with `zones` availability zones and default organisations.
///
/// # Errors
///
/// If the write fails.
pub async fn write_site_config(store: SocketAddr, zones: usize) -> Result<()> {
    let size = SiteSize {
        zones,
        ..SiteSize::default()
    };
    write_config(store, &site_config(size)?).await
}

/// Returns the settings line with which a process advertises the address of its proxy.
fn advertise_setting(key: &str, proxy: Option<&FaultProxy>) -> String {
    proxy.map_or_else(String::new, |proxy| {
        format!("{key} = {}\n", proxy.address())
    })
}

/// Sets the target of a proxy to the new address of a restarted process.
fn set_target(proxy: Option<&FaultProxy>, address: SocketAddr) {
    if let Some(proxy) = proxy {
        proxy.set_target(address);
    }
}

fn start(settings: &Path, binary: &str, text: &str) -> Result<Process> {
    std::fs::write(settings, text)?;
    Process::start(binary, settings)
}
