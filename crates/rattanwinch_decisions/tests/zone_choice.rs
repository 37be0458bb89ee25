//! Tests of the choice of an availability zone for a job.

use rattanwinch_decisions::ZoneCandidate;
use rattanwinch_decisions::choose_zone;
use rattanwinch_types::Adjacency;
use rattanwinch_types::Epoch;
use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::GangShape;
use rattanwinch_types::Guarantee;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;

fn zone(index: u32) -> ZoneName {
    ZoneName::new(format!("az-{index}")).expect("valid")
}

fn letrafa() -> Organisation {
    Organisation::new("letrafa").expect("valid")
}

fn candidate(
    index: u32,
    free_workers: u32,
    waiting: u32,
    pending_accelerators: u32,
) -> ZoneCandidate {
    let summary = ZoneSummary {
        zone: zone(index),
        epoch: Epoch(1),
        free_blocks: [0, 0, 0, free_workers],
        accelerators: 32,
        waiting,
        guarantees: Vec::new(),
    };
    ZoneCandidate {
        summary,
        pending_accelerators,
    }
}

fn config() -> FleetConfig {
    FleetConfig {
        zones: (1..=3).map(zone).collect(),
        ..FleetConfig::default()
    }
}

fn choose(config: &FleetConfig, candidates: &[ZoneCandidate]) -> Option<ZoneName> {
    let shape = GangShape::new(2, 8, Adjacency::Zone).expect("valid");
    choose_zone(config, candidates, &letrafa(), shape)
}

/// Guards against a burst that is sent to one zone until its next summary, and against jobs that
/// wait behind others while another zone is free.
#[test]
fn waiting_and_just_sent_jobs_reduce_the_headroom() {
    let burst = [candidate(1, 4, 0, 32), candidate(2, 3, 0, 0)];
    assert_eq!(choose(&config(), &burst), Some(zone(2)));
    let queue = [candidate(1, 1, 2, 0), candidate(2, 0, 0, 0)];
    assert_eq!(choose(&config(), &queue), Some(zone(2)));
}

/// Guards against borrowing in another zone while the organisation's own guarantee is unused.
#[test]
fn a_guarantee_is_preferred_to_free_accelerators() {
    let mut config = config();
    config.guarantees.push(Guarantee {
        organisation: letrafa(),
        zone: zone(2),
        blocks: 1,
        accelerators: 16,
    });
    let candidates = [candidate(1, 4, 0, 0), candidate(2, 0, 0, 0)];
    assert_eq!(choose(&config, &candidates), Some(zone(2)));
}

/// Guards against jobs that are sent to a closed or removed zone, or to one that is too small.
#[test]
fn closed_unknown_and_small_zones_are_skipped() {
    let mut config = config();
    config.exceptions.push(Exception {
        id: ExceptionId::new("maintenance").expect("valid"),
        effect: ExceptionEffect::CloseZone(zone(1)),
        reason: "power work".into(),
        author: "operator".into(),
        at: Timestamp::ZERO,
    });
    let mut small = candidate(2, 1, 0, 0);
    small.summary.accelerators = 8;
    let candidates = [
        candidate(1, 4, 0, 0),
        small,
        candidate(3, 0, 5, 0),
        candidate(4, 4, 0, 0),
    ];
    assert_eq!(choose(&config, &candidates), Some(zone(3)));
    assert_eq!(choose(&config, &candidates[..1]), None);
}
