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

/// A free port on loopback.
pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How often a waiting caller looks whether the site is ready.
const READY_POLL: Duration = Duration::from_millis(10);

/// The organisations of a site.
const ORGANISATIONS: [&str; 4] = ["letrafa", "gait", "dealers", "inspectors"];

/// Workers of one rack, as the sites of today have them.
pub(crate) const WORKERS_PER_RACK: usize = 3;

rattanwinch_types::value! { copy
    /// How large a site is.
    pub struct SiteSize {
        /// Availability zones, `az-1` and so on.
        pub zones: usize,
        /// Targets, spread evenly over the zones.
        pub targets: usize,
        /// Slots of each executor.
        pub slots: u16,
        /// Entries.
        pub entries: usize,
    }
}

impl Default for SiteSize {
    /// The sites of today: 3 availability zones, 11 executors of 8 slots, 2 entries.
    fn default() -> Self {
        Self {
            zones: 3,
            targets: 11,
            slots: 8,
            entries: 2,
        }
    }
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The platform's store.
    pub store: StandinStore,
    /// The executors, in the order of the agents.
    pub executors: Vec<StandinExecutor>,
    /// The agents.
    pub agents: Vec<AgentDaemon<HttpExecutor, AgentServing>>,
    /// The entries.
    pub entries: Vec<EntryDaemon<EtcdStore, EntryServing>>,
}

impl Site {
    /// Starts everything; targets announce themselves soon after.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or the configuration can't be written.
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

    /// Replaces the configuration, whatever it was.
    ///
    /// # Errors
    ///
    /// If the store refuses.
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
        let store = client(self.store.address(), &name);
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

    /// The URL of a path of the HTTP interface of an entry.
    #[must_use]
    pub fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].http_address())
    }
}

impl Site {
    /// Waits until every entry knows a decider of each zone that has taken in all its workers.
    ///
    /// # Errors
    ///
    /// If that takes longer than `limit`.
    pub async fn wait_until_decided(&self, limit: Duration) -> Result<()> {
        let workers = self.agents.len() * usize::from(WORKER_ACCELERATORS);
        let is_decided = |entry: &EntryDaemon<EtcdStore, EntryServing>| {
            let summaries = entry.zone_summaries();
            let known: u32 = summaries.iter().map(|zone| zone.accelerators).sum();
            known as usize == workers
        };
        let decided = async {
            while !self.entries.iter().all(is_decided) {
                tokio::time::sleep(READY_POLL).await;
            }
        };
        let waited = tokio::time::timeout(limit, decided).await;
        waited.map_err(|_| eyre::eyre!("not every worker was taken in within {limit:?}"))
    }

    /// Waits until every entry has its configuration and can route to every target.
    ///
    /// # Errors
    ///
    /// If that takes longer than `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<()> {
        let ready = async {
            let targets = self.agents.len();
            while self
                .entries
                .iter()
                .any(|entry| !entry.is_ready() || entry.connected_targets() < targets)
            {
                tokio::time::sleep(READY_POLL).await;
            }
        };
        let waited = tokio::time::timeout(limit, ready).await;
        waited.map_err(|_| eyre::eyre!("not every target was connected within {limit:?}"))
    }
}

fn zone_name(index: usize) -> Result<ZoneName> {
    Ok(ZoneName::new(format!("az-{}", index + 1))?)
}

/// The configuration of a site: its zones and the organisations of the demonstration.
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

fn client(store: SocketAddr, name: &str) -> EtcdStore {
    let settings = StoreSettings::builder().endpoints(vec![store]).build();
    EtcdStore::builder()
        .settings(settings)
        .client_name(name)
        .start()
}

/// Replaces the configuration in the store, whatever it was.
pub(crate) async fn write_config(store: SocketAddr, config: &FleetConfig) -> Result<()> {
    let document = ConfigDocument {
        config: config.clone(),
        recent: Vec::new(),
    };
    let put = Transaction::new().with_put(keys::config(), document.to_json(), Retention::Permanent);
    client(store, "site").transact(put).await?;
    Ok(())
}
