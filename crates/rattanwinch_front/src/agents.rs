use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentClient;
use rattanwinch_fleet::AgentId;
use rattanwinch_fleet::AgentReport;
use rattanwinch_scheduling::TargetLife;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

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
    pub life: Option<TargetLife>,
}

impl Agent {
    /// The agent's own time until which an order given at `now` may be begun.
    pub(crate) fn valid_until(&self, now: Timestamp) -> Timestamp {
        let (clock, heard_at) = self.clock;
        clock + now.since(heard_at) + ORDER_VALIDITY
    }
}

/// What a report says that isn't in its lists.
#[derive(Debug, Default)]
pub(crate) struct Noted {
    /// False if a newer report of the VM has been taken.
    pub fresh: bool,
    /// The life of another target that was on the VM before.
    pub replaced: Option<TargetLife>,
}

/// The agents that have reported, by VM.
#[derive(Debug, Default)]
pub(crate) struct Agents {
    agents: BTreeMap<Arc<str>, Agent>,
}

impl Agents {
    pub(crate) fn note(&mut self, report: &AgentReport, now: Timestamp) -> Noted {
        let life = report
            .target
            .as_ref()
            .map(|target| &target.description.life);
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
            return Noted {
                fresh: true,
                replaced: None,
            };
        };
        let incarnation = report.agent.incarnation;
        let same = incarnation == agent.id.incarnation;
        if agent.former.contains(&incarnation) || (same && report.sequence <= agent.sequence) {
            return Noted::default();
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
        let mut replaced = None;
        if let Some(life) = life
            && agent.life.as_ref() != Some(life)
        {
            replaced = agent.life.replace(life.clone());
        }
        Noted {
            fresh: true,
            replaced,
        }
    }

    /// The agent beside a life of a target.
    pub(crate) fn beside(&self, life: &TargetLife) -> Option<&Agent> {
        let mut agents = self.agents.values();
        agents.find(|agent| agent.life.as_ref() == Some(life))
    }
}
