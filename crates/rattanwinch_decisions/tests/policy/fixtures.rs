//! Fixtures of the policy tests.

use std::time::Duration;

use rattanwinch_decisions::Decision;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_decisions::ZonePolicy;
use rattanwinch_types::Adjacency;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::GangShape;
use rattanwinch_types::Guarantee;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;
use rattanwinch_types::ZoneName;

pub fn zone() -> ZoneName {
    "zone-a".parse().expect("a valid name")
}

pub fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1000)
}

pub fn worker(index: usize) -> WorkerInfo {
    WorkerInfo {
        target: format!("w{index}").parse().expect("a valid name"),
        rack: format!("r{}", index / 3).parse().expect("a valid name"),
        accelerators: 8,
    }
}

pub fn key(organisation: &str, id: &str) -> RequestKey {
    RequestKey {
        organisation: organisation.parse().expect("a valid name"),
        id: id.parse().expect("a valid name"),
    }
}

pub fn shape(tasks: u16, each: u8, adjacency: Adjacency) -> GangShape {
    GangShape::new(tasks, each, adjacency).expect("a valid shape")
}

pub fn job(key: RequestKey, shape: GangShape) -> JobSpec {
    JobSpec::builder()
        .key(key)
        .shape(shape)
        .idempotent(true)
        .urgency(Urgency::Normal)
        .deadline(at(1_000_000))
        .declared_run_time(Duration::from_secs(600))
        .payload("".into())
        .build()
}

pub fn guarantee(organisation: &str, blocks: u32, accelerators: u32) -> Guarantee {
    let organisation: Organisation = organisation.parse().expect("a valid name");
    Guarantee {
        organisation,
        zone: zone(),
        blocks,
        accelerators,
    }
}

pub fn config(guarantees: Vec<Guarantee>) -> FleetConfig {
    FleetConfig {
        zones: vec![zone()],
        guarantees,
        ..FleetConfig::default()
    }
}

/// Creates a policy with this many workers of 8 accelerators, 3 to a rack, whose worker discovery
/// period is over at 100 s.
pub fn policy(workers: usize, guarantees: Vec<Guarantee>) -> ZonePolicy {
    let mut policy = ZonePolicy::new(zone());
    policy.set_config(&config(guarantees), Timestamp::ZERO);
    for index in 0..workers {
        policy.worker_ready(worker(index), Timestamp::ZERO);
    }
    let decisions = policy.decide(at(100));
    assert!(decisions.is_empty());
    policy
}

/// Keys of the jobs that the decisions start.
pub fn starts(decisions: &[Decision]) -> Vec<RequestKey> {
    let start = |decision: &Decision| match decision {
        Decision::Start { key, .. } => Some(key.clone()),
        _ => None,
    };
    decisions.iter().filter_map(start).collect()
}

/// Keys of the jobs that the decisions evict.
pub fn evictions(decisions: &[Decision]) -> Vec<RequestKey> {
    let eviction = |decision: &Decision| match decision {
        Decision::Evict { key, .. } => Some(key.clone()),
        _ => None,
    };
    decisions.iter().filter_map(eviction).collect()
}
