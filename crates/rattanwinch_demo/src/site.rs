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
use rattanwinch_runtime::discard_logger;
use rattanwinch_runtime::install_metrics;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_targets::HttpExecutor;
use rattanwinch_types::EntryName;
use rattanwinch_types::RackName;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;

/// A free port on loopback.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How often a waiting caller looks whether the site is ready.
const READY_POLL: Duration = Duration::from_millis(10);

/// Workers of one rack, as the sites of today have them.
const WORKERS_PER_RACK: usize = 3;

rattanwinch_types::value! { copy
    /// How large a site is.
    pub struct SiteSize {
        /// Availability zones, `az-1` and so on.
        pub zones: usize,
        /// Targets, spread evenly over the zones.
        pub targets: usize,
        /// Slots of each executor.
        pub slots: u16,
    }
}

impl Default for SiteSize {
    /// The sites of today: 3 availability zones, 11 executors of 8 slots.
    fn default() -> Self {
        Self {
            zones: 3,
            targets: 11,
            slots: 8,
        }
    }
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The executors, in the order of the agents.
    pub executors: Vec<StandinExecutor>,
    /// The agents.
    pub agents: Vec<AgentDaemon<HttpExecutor, AgentServing>>,
    /// The entry.
    pub entry: EntryDaemon<EntryServing>,
}

impl Site {
    /// Starts everything; targets announce themselves soon after.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn start(size: SiteSize) -> Result<Self> {
        let settings = EntrySettings::builder()
            .entry(EntryName::new("entry-1")?)
            .zone(ZoneName::new("az-1")?)
            .http_listen(ANY_PORT)
            .rpc_listen(ANY_PORT)
            .drain_wait(Duration::from_millis(100))
            .build();
        let entry = EntryDaemon::new(settings, install_metrics(), discard_logger());
        let entry = entry.serve().await?;
        let mut site = Self {
            executors: Vec::new(),
            agents: Vec::new(),
            entry,
        };
        for index in 0..size.targets {
            site.add_target(index, size).await?;
        }
        Ok(site)
    }

    async fn add_target(&mut self, index: usize, size: SiteSize) -> Result<()> {
        let executor = StandinExecutor::start(ANY_PORT, usize::from(size.slots)).await?;
        let zone = index % size.zones;
        let rack = index / size.zones / WORKERS_PER_RACK;
        let settings = AgentSettings::builder()
            .target(TargetName::new(format!("target-{index}"))?)
            .zone(ZoneName::new(format!("az-{}", zone + 1))?)
            .rack(RackName::new(format!("rack-{}-{rack}", zone + 1))?)
            .listen(ANY_PORT)
            .executor(executor.address())
            .entries(vec![self.entry.rpc_address()])
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

    /// The URL of a path of the entry's HTTP interface.
    #[must_use]
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry.http_address())
    }
}

impl Site {
    /// Waits until the entry can route to every target.
    ///
    /// # Errors
    ///
    /// If that takes longer than `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<()> {
        let ready = async {
            while self.entry.connected_targets() < self.agents.len() {
                tokio::time::sleep(READY_POLL).await;
            }
        };
        let waited = tokio::time::timeout(limit, ready).await;
        waited.map_err(|_| eyre::eyre!("not every target was connected within {limit:?}"))
    }
}
