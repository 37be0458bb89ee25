use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentClient;
use rattanwinch_fleet::AgentId;
use rattanwinch_fleet::AgentReport;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::records::AgentAddresses;

/// How long an order is valid after it was sent. Agents don't carry out orders that a network
/// failure delayed longer.
const ORDER_VALIDITY: Duration = Duration::from_millis(1000);

/// Number of an agent's reports after which an unchanged list of fronts is sent again.
const REPORTS_PER_FRONT_LIST: u64 = 16;

/// An agent that has reported to this leader.
#[derive(Debug)]
pub(crate) struct Agent {
    id: AgentId,
    /// Incarnations of earlier agent processes on the VM, whose reports are ignored.
    former_incarnations: SmallVec<[u64; 4]>,
    sequence: u64,
    pub client: AgentClient,
    /// The agent's clock in its last report, and when that was received.
    clock: (Timestamp, Timestamp),
    pub instance: Option<TargetInstance>,
    /// The last list of fronts that was sent to the agent.
    sent_fronts: Option<Arc<[SocketAddr]>>,
}

impl Agent {
    /// End of validity, on the agent's clock, of an order given at `now`.
    pub(crate) fn valid_until(&self, now: Timestamp) -> Timestamp {
        let (clock, received_at) = self.clock;
        clock + now.since(received_at) + ORDER_VALIDITY
    }
}

/// The agents that have reported, by VM.
#[derive(Debug)]
pub(crate) struct Agents {
    agents: BTreeMap<Arc<str>, Agent>,
    /// The addresses that were committed last.
    persisted: AgentAddresses,
    /// Addresses known to the previous leader; used until their agents would have reported to this
    /// one.
    inherited: AgentAddresses,
}

impl Agents {
    /// Records a report; false if a newer one from its VM has been recorded.
    pub(crate) fn record_report(&mut self, report: &AgentReport, now: Timestamp) -> bool {
        let instance = report
            .target
            .as_ref()
            .map(|target| &target.description.instance);
        let known = self.agents.get_mut(&report.agent.vm);
        let Some(agent) = known else {
            self.agents.insert(
                Arc::clone(&report.agent.vm),
                Agent {
                    id: report.agent.clone(),
                    former_incarnations: SmallVec::new(),
                    sequence: report.sequence,
                    client: AgentClient::new(report.address),
                    clock: (report.clock, now),
                    instance: instance.cloned(),
                    sent_fronts: None,
                },
            );
            return true;
        };
        let incarnation = report.agent.incarnation;
        let same_incarnation = incarnation == agent.id.incarnation;
        if agent.former_incarnations.contains(&incarnation)
            || (same_incarnation && report.sequence <= agent.sequence)
        {
            return false;
        }
        if !same_incarnation {
            agent.former_incarnations.push(agent.id.incarnation);
        }
        if agent.client.address() != report.address {
            agent.client = AgentClient::new(report.address);
        }
        agent.id = report.agent.clone();
        agent.sequence = report.sequence;
        agent.clock = (report.clock, now);
        if instance.is_some() {
            agent.instance = instance.cloned();
        }
        true
    }

    /// Returns true if the answer to a report has to contain the list of fronts: it is new to the
    /// agent, or an earlier answer may have been lost.
    pub(crate) fn needs_fronts(
        &mut self,
        report: &AgentReport,
        fronts: &Arc<[SocketAddr]>,
    ) -> bool {
        let Some(agent) = self.agents.get_mut(&report.agent.vm) else {
            return true;
        };
        let is_known = agent
            .sent_fronts
            .as_ref()
            .is_some_and(|sent| Arc::ptr_eq(sent, fronts));
        agent.sent_fronts = Some(Arc::clone(fronts));
        !is_known || report.sequence.is_multiple_of(REPORTS_PER_FRONT_LIST)
    }

    /// Starts with the addresses that the previous leader committed.
    pub(crate) fn restore(addresses: AgentAddresses) -> Self {
        Self {
            agents: BTreeMap::new(),
            persisted: addresses.clone(),
            inherited: addresses,
        }
    }

    /// Drops addresses of agents that reported only to the previous leader.
    pub(crate) fn clear_inherited(&mut self) {
        self.inherited.clear();
    }

    /// The agents' addresses, if they differ from the committed ones.
    pub(crate) fn take_changed_addresses(&mut self) -> Option<AgentAddresses> {
        let mut present = self.inherited.clone();
        let reporting = self.agents.iter();
        present.extend(reporting.map(|(vm, agent)| (Arc::clone(vm), agent.client.address())));
        if present == self.persisted {
            return None;
        }
        self.persisted = present.clone();
        Some(present)
    }

    /// The agent of a target instance.
    pub(crate) fn for_instance(&self, instance: &TargetInstance) -> Option<&Agent> {
        let mut agents = self.agents.values();
        agents.find(|agent| agent.instance.as_ref() == Some(instance))
    }
}
