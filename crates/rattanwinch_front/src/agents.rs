use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentClient;
use rattanwinch_fleet::AgentId;
use rattanwinch_fleet::AgentReport;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::records::AgentAddresses;

/// How long an order may be begun after it was given. Orders that a cut held up longer are no
/// longer what is wanted.
const ORDER_VALIDITY: Duration = Duration::from_millis(1000);

/// An agent that has reported to this scheduler.
#[derive(Debug)]
pub(crate) struct Agent {
    id: AgentId,
    /// Earlier processes on the VM; what still comes from them is out of date.
    former: SmallVec<[u64; 4]>,
    sequence: u64,
    pub client: AgentClient,
    /// The agent's clock in its last report, and when that came.
    clock: (Timestamp, Timestamp),
    pub life: Option<TargetInstance>,
}

impl Agent {
    /// The agent's own time until which an order given at `now` may be begun.
    pub(crate) fn valid_until(&self, now: Timestamp) -> Timestamp {
        let (clock, heard_at) = self.clock;
        clock + now.since(heard_at) + ORDER_VALIDITY
    }
}

/// The agents that have reported, by VM.
#[derive(Debug)]
pub(crate) struct Agents {
    agents: BTreeMap<Arc<str>, Agent>,
    /// The addresses that were last made durable.
    durable: AgentAddresses,
    /// Those that the scheduler before knew; they count until they would have been heard.
    inherited: AgentAddresses,
}

impl Agents {
    /// Notes a report; false if a newer one of its VM has been taken.
    pub(crate) fn note(&mut self, report: &AgentReport, now: Timestamp) -> bool {
        let life = report
            .target
            .as_ref()
            .map(|target| &target.description.instance);
        let known = self.agents.get_mut(&report.agent.vm);
        let Some(agent) = known else {
            self.agents.insert(
                Arc::clone(&report.agent.vm),
                Agent {
                    id: report.agent.clone(),
                    former: SmallVec::new(),
                    sequence: report.sequence,
                    client: AgentClient::new(report.address),
                    clock: (report.clock, now),
                    life: life.cloned(),
                },
            );
            return true;
        };
        let incarnation = report.agent.incarnation;
        let same = incarnation == agent.id.incarnation;
        if agent.former.contains(&incarnation) || (same && report.sequence <= agent.sequence) {
            return false;
        }
        if !same {
            agent.former.push(agent.id.incarnation);
        }
        if agent.client.address() != report.address {
            agent.client = AgentClient::new(report.address);
        }
        agent.id = report.agent.clone();
        agent.sequence = report.sequence;
        agent.clock = (report.clock, now);
        if life.is_some() {
            agent.life = life.cloned();
        }
        true
    }

    /// Starts with the addresses that the scheduler before has made durable.
    pub(crate) fn inherit(addresses: AgentAddresses) -> Self {
        Self {
            agents: BTreeMap::new(),
            durable: addresses.clone(),
            inherited: addresses,
        }
    }

    /// Forgets agents that only the scheduler before has heard.
    pub(crate) fn forget_inherited(&mut self) {
        self.inherited.clear();
    }

    /// Where the agents serve the scheduler, if that differs from what is durable.
    pub(crate) fn take_changed_addresses(&mut self) -> Option<AgentAddresses> {
        let mut present = self.inherited.clone();
        let heard = self.agents.iter();
        present.extend(heard.map(|(vm, agent)| (Arc::clone(vm), agent.client.address())));
        if present == self.durable {
            return None;
        }
        self.durable = present.clone();
        Some(present)
    }

    /// The agent beside a life of a target.
    pub(crate) fn beside(&self, life: &TargetInstance) -> Option<&Agent> {
        let mut agents = self.agents.values();
        agents.find(|agent| agent.life.as_ref() == Some(life))
    }
}
