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

use super::Process;
use super::Relay;
use super::Relays;
use crate::SiteSize;
use crate::site::ANY_PORT;
use crate::site::WORKERS_PER_RACK;
use crate::site::client;
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
    /// What stands between the processes, if the site was started with relays.
    pub relays: Option<Relays>,
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
        Self::start_with(name, size, false).await
    }

    /// As [`Self::start`], with a relay before each entry, each agent and each entry's store.
    ///
    /// # Errors
    ///
    /// If something doesn't start in time.
    pub async fn start_relayed(name: &str, size: SiteSize) -> Result<Self> {
        Self::start_with(name, size, true).await
    }

    async fn start_with(name: &str, size: SiteSize, relayed: bool) -> Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("rattanwinch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = StandinStore::start(ANY_PORT, StoreLimits::default()).await?;
        write_config(store.address(), &site_config(size)?).await?;
        let (executors, entries, agents) = (Vec::new(), Vec::new(), Vec::new());
        let relays = if relayed {
            Some(Relays::start(size, store.address()).await?)
        } else {
            None
        };
        let mut site = Self {
            store,
            executors,
            entries,
            agents,
            relays,
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
        let relays = self.relays.as_ref();
        let relay = relays.map(|relays| &relays.entries[index]);
        let store = relays.map_or_else(
            || self.store.address(),
            |relays| relays.stores[index].address(),
        );
        let text = format!(
            "[entry]\nentry = entry-{n}\nzone = az-{zone}\nhttp_listen = 127.0.0.1:0\n\
             rpc_listen = 127.0.0.1:0\n{advertise}drain_wait_ms = 200\n\
             [store]\nendpoints = {store}\n",
            n = index + 1,
            zone = index % self.size.zones + 1,
            advertise = advertise("rpc_advertise", relay),
        );
        let settings = self.folder.join(format!("entry-{}.ini", index + 1));
        let entry = start(&settings, "rattanwinch-entry", &text)?;
        set_target(relay, entry.address("rpc")?);
        Ok(entry)
    }

    /// Starts the agent beside the executor with the given number, as it was or anew.
    ///
    /// # Errors
    ///
    /// If it doesn't start in time.
    pub fn start_agent(&self, index: usize) -> Result<Process> {
        let zone = index % self.size.zones + 1;
        let rack = index / self.size.zones / WORKERS_PER_RACK;
        let seeds = self.entries.iter().enumerate().map(|(number, entry)| {
            let relay = self.relays.as_ref().map(|relays| &relays.entries[number]);
            let address = relay.map_or_else(|| entry.address("rpc"), |r| Ok(r.address()));
            address.map(|address| address.to_string())
        });
        let seeds = seeds.collect::<Result<Vec<_>>>()?.join(", ");
        let relay = self.relays.as_ref().map(|relays| &relays.agents[index]);
        let text = format!(
            "[agent]\ntarget = target-{index}\nzone = az-{zone}\nrack = rack-{zone}-{rack}\n\
             listen = 127.0.0.1:0\n{advertise}executor = {executor}\nentries = {seeds}\n\
             slots = {slots}\n",
            advertise = advertise("advertise", relay),
            executor = self.executors[index].address(),
            slots = self.size.slots,
        );
        let settings = self.folder.join(format!("agent-{index}.ini"));
        let agent = start(&settings, "rattanwinch-agent", &text)?;
        set_target(relay, agent.address("listen")?);
        Ok(agent)
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

    /// The number of the entry that the store names as the decider of a zone.
    ///
    /// # Errors
    ///
    /// If the store can't be read or names none of the entries.
    pub async fn decider(&self, zone: &str) -> Result<usize> {
        let key = keys::decider(&ZoneName::new(zone)?);
        let stored = client(self.store.address(), "test").read(&key).await?;
        let stored = stored.wrap_err("the zone has no decider")?;
        let record = DeciderRecord::decode(&stored.value)?;
        let name = record.entry.to_string();
        let number = name.strip_prefix("entry-").wrap_err("unknown entry")?;
        Ok(number.parse::<usize>()? - 1)
    }

    /// The number of the entry that takes a zone over first once the entry `decider` is dead.
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

    /// Checks that no process has violated an invariant or panicked.
    ///
    /// # Panics
    ///
    /// If one has.
    pub fn check_faults(&self) {
        let processes = self.entries.iter().chain(&self.agents);
        let faults: Vec<String> = processes.flat_map(Process::faults).collect();
        assert!(faults.is_empty(), "faults in daemons: {faults:#?}");
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

/// The settings line by which a process is reached through its relay.
fn advertise(key: &str, relay: Option<&Relay>) -> String {
    relay.map_or_else(String::new, |relay| {
        format!("{key} = {}\n", relay.address())
    })
}

/// A restarted process listens elsewhere, so its relay goes there from then on.
fn set_target(relay: Option<&Relay>, address: SocketAddr) {
    if let Some(relay) = relay {
        relay.set_target(address);
    }
}

fn start(settings: &Path, binary: &str, text: &str) -> Result<Process> {
    std::fs::write(settings, text)?;
    Process::start(binary, settings)
}
