use std::io;
use std::net::SocketAddr;

use super::Blackhole;
use super::FaultProxy;
use crate::SiteSize;

/// The proxies of a site: one in front of each listener to which processes connect.
#[derive(Debug)]
pub struct FaultProxies {
    /// In front of each entry: heartbeats of agents, and pings and jobs of other entries.
    pub entries: Vec<FaultProxy>,
    /// In front of each agent: the WebSockets of the entries.
    pub agents: Vec<FaultProxy>,
    /// In front of the store, one for each entry.
    pub stores: Vec<FaultProxy>,
}

impl FaultProxies {
    /// Starts the proxies of a site with the given store address.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port is available.
    pub async fn start(size: SiteSize, store: SocketAddr) -> io::Result<Self> {
        let (mut entries, mut agents, mut stores) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..size.entries {
            entries.push(FaultProxy::start().await?);
            let proxy = FaultProxy::start().await?;
            proxy.set_target(store);
            stores.push(proxy);
        }
        for _ in 0..size.targets {
            agents.push(FaultProxy::start().await?);
        }
        Ok(Self {
            entries,
            agents,
            stores,
        })
    }

    /// Sets the dropped directions of all connections that are open now; new ones are forwarded.
    pub fn blackhole_all(&self, blackhole: Blackhole) {
        let all = self.entries.iter().chain(&self.agents).chain(&self.stores);
        all.for_each(|proxy| proxy.blackhole(blackhole));
    }
}
