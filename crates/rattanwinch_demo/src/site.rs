use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use rattanwinch_agent::AgentDaemon;
use rattanwinch_agent::AgentSettings;
use rattanwinch_agent::Serving as AgentServing;
use rattanwinch_entry::EntryDaemon;
use rattanwinch_entry::EntrySettings;
use rattanwinch_entry::Serving as EntryServing;
use rattanwinch_platform::EtcdStore;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store as _;
use rattanwinch_platform::StoreSettings;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::ConfigDocument;
use rattanwinch_runtime::discard_logger;
use rattanwinch_runtime::install_metrics;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreLimits;
use rattanwinch_targets::HttpExecutor;
use rattanwinch_types::EntryName;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::RackName;
use rattanwinch_types::TargetName;
use rattanwinch_types::WORKER_ACCELERATORS;
use rattanwinch_types::ZoneName;

/// A loopback address whose port the operating system selects.
pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The polling interval while waiting for the site.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The organisations of a site.
const ORGANISATIONS: [&str; 4] = ["letrafa", "gait", "dealers", "inspectors"];

/// The number of workers per rack in the default site.
pub(crate) const WORKERS_PER_RACK: usize = 3;

rattanwinch_types::value! { copy
    /// The size of a site.
    pub struct SiteSize {
        /// The number of availability zones, named `az-1` and so on.
        pub zones: usize,
        /// The number of targets, distributed evenly over the zones.
        pub targets: usize,
        /// The number of slots of each executor.
        pub slots: u16,
        /// The number of entries.
        pub entries: usize,
    }
}

impl Default for SiteSize {
    /// The size of a current production site: 3 availability zones, 11 executors with 8 slots
    /// each, and 2 entries.
    fn default() -> Self {
        Self {
            zones: 3,
            targets: 11,
            slots: 8,
            entries: 2,
        }
    }
}

/// A running site in this process.
#[derive(Debug)]
pub struct Site {
    /// The stand-in store.
    pub store: StandinStore,
    /// The executors, in the order of the agents.
    pub executors: Vec<StandinExecutor>,
    /// The agents.
    pub agents: Vec<AgentDaemon<HttpExecutor, AgentServing>>,
    /// The entries.
    pub entries: Vec<EntryDaemon<EtcdStore, EntryServing>>,
}

impl Site {
    /// Starts all components; the targets register with the entries soon after.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or the configuration cannot be written.
    pub async fn start(size: SiteSize) -> Result<Self> {
        let store = StandinStore::start(ANY_PORT, StoreLimits::default()).await?;
        let mut site = Self {
            store,
            executors: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
        };
        site.write_config(&site_config(size)?).await?;
        for index in 0..size.entries {
            site.add_entry(index, size).await?;
        }
        for index in 0..size.targets {
            site.add_target(index, size).await?;
        }
        Ok(site)
    }

    /// Replaces the configuration unconditionally.
    ///
    /// # Errors
    ///
    /// If the write fails.
    pub async fn write_config(&self, config: &FleetConfig) -> Result<()> {
        write_config(self.store.address(), config).await
    }

    async fn add_entry(&mut self, index: usize, size: SiteSize) -> Result<()> {
        let name = format!("entry-{}", index + 1);
        let settings = EntrySettings::builder()
            .entry(EntryName::new(&name)?)
            .zone(zone_name(index % size.zones)?)
            .http_listen(ANY_PORT)
            .rpc_listen(ANY_PORT)
            .store(
                StoreSettings::builder()
                    .endpoints(vec![self.store.address()])
                    .build(),
            )
            .drain_wait(Duration::from_millis(100))
            .build();
        let store = store_client(self.store.address(), &name);
        let entry = EntryDaemon::new(settings, store, install_metrics(), discard_logger());
        self.entries.push(entry.serve().await?);
        Ok(())
    }

    async fn add_target(&mut self, index: usize, size: SiteSize) -> Result<()> {
        let executor = StandinExecutor::start(ANY_PORT, usize::from(size.slots)).await?;
        let zone = index % size.zones;
        let rack = index / size.zones / WORKERS_PER_RACK;
        let settings = AgentSettings::builder()
            .target(TargetName::new(format!("target-{index}"))?)
            .zone(zone_name(zone)?)
            .rack(RackName::new(format!("rack-{}-{rack}", zone + 1))?)
            .listen(ANY_PORT)
            .executor(executor.address())
            .entries(
                self.entries
                    .iter()
                    .map(EntryDaemon::rpc_address)
                    .collect::<Vec<_>>(),
            )
            .slots(size.slots)
            .build();
        let http = HttpExecutor::new(executor.address());
        let agent = AgentDaemon::new(settings, http, discard_logger())
            .serve()
            .await?;
        self.executors.push(executor);
        self.agents.push(agent);
        Ok(())
    }

    /// Returns the URL of a path of an entry's HTTP API.
    #[must_use]
    pub fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].http_address())
    }
}

impl Site {
    /// Waits until every entry sees deciders that have adopted all workers.
    ///
    /// # Errors
    ///
    /// If the time limit expires.
    pub async fn wait_until_adopted(&self, limit: Duration) -> Result<()> {
        let workers = self.agents.len() * usize::from(WORKER_ACCELERATORS);
        let has_adopted_all = |entry: &EntryDaemon<EtcdStore, EntryServing>| {
            let summaries = entry.zone_summaries();
            let known: u32 = summaries.iter().map(|zone| zone.accelerators).sum();
            known as usize == workers
        };
        let adopted = async {
            while !self.entries.iter().all(has_adopted_all) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(limit, adopted).await;
        waited.map_err(|_| eyre::eyre!("not all workers were adopted within {limit:?}"))
    }

    /// Waits until every entry is ready and connected to every target.
    ///
    /// # Errors
    ///
    /// If the time limit expires.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<()> {
        let ready = async {
            let targets = self.agents.len();
            while self
                .entries
                .iter()
                .any(|entry| !entry.is_ready() || entry.connected_targets() < targets)
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(limit, ready).await;
        waited.map_err(|_| eyre::eyre!("not all targets were connected within {limit:?}"))
    }
}

fn zone_name(index: usize) -> Result<ZoneName> {
    Ok(ZoneName::new(format!("az-{}", index + 1))?)
}

/// Returns the configuration of a site: its zones and the organisations of the demonstration.
pub(crate) fn site_config(size: SiteSize) -> Result<FleetConfig> {
    let zones = (0..size.zones).map(zone_name).collect::<Result<_>>()?;
    let organisations = ORGANISATIONS.map(|name| {
        let name = Organisation::new(name)?;
        Ok(OrganisationConfig {
            name,
            quota_accelerators: None,
        })
    });
    let organisations = organisations.into_iter().collect::<Result<_>>()?;
    Ok(FleetConfig {
        zones,
        organisations,
        ..FleetConfig::default()
    })
}

pub(crate) fn store_client(store: SocketAddr, name: &str) -> EtcdStore {
    let settings = StoreSettings::builder().endpoints(vec![store]).build();
    EtcdStore::builder()
        .settings(settings)
        .client_name(name)
        .start()
}

/// Replaces the configuration in the store unconditionally.
pub(crate) async fn write_config(store: SocketAddr, config: &FleetConfig) -> Result<()> {
    let document = ConfigDocument {
        config: config.clone(),
        recent: Vec::new(),
    };
    let put = Transaction::new().with_put(keys::config(), document.to_json(), Retention::Permanent);
    store_client(store, "site").transact(put).await?;
    Ok(())
}
