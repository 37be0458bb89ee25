use std::io;
use std::net::SocketAddr;

use super::Relay;
use super::Silence;
use crate::SiteSize;

/// The relays of a site: one before each listener that processes connect to.
#[derive(Debug)]
pub struct Relays {
    /// Before each entry: heartbeats of agents, and pings and jobs of the other entries.
    pub entries: Vec<Relay>,
    /// Before each agent: the WebSockets of the entries.
    pub agents: Vec<Relay>,
    /// Before the store, one for each entry.
    pub stores: Vec<Relay>,
}

impl Relays {
    /// Starts the relays of a site whose store is at the given address.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port can be had.
    pub async fn start(size: SiteSize, store: SocketAddr) -> io::Result<Self> {
        let (mut entries, mut agents, mut stores) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..size.entries {
            entries.push(Relay::start().await?);
            let relay = Relay::start().await?;
            relay.set_target(store);
            stores.push(relay);
        }
        for _ in 0..size.targets {
            agents.push(Relay::start().await?);
        }
        Ok(Self {
            entries,
            agents,
            stores,
        })
    }

    /// Makes every connection that is open now silent for good, while new ones work.
    pub fn silence_all(&self, silence: Silence) {
        let all = self.entries.iter().chain(&self.agents).chain(&self.stores);
        all.for_each(|relay| relay.silence(silence));
    }
}
