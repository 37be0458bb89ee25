//! The choice of an availability zone for a job.

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

fn offer(index: u32, free_workers: u32, waiting: u32, pending_accelerators: u32) -> ZoneCandidate {
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

fn choose(config: &FleetConfig, offers: &[ZoneCandidate]) -> Option<ZoneName> {
    let shape = GangShape::new(2, 8, Adjacency::Zone).expect("valid");
    choose_zone(config, offers, &letrafa(), shape)
}

/// Guards against a burst that goes to one zone until its next summary, and against jobs that
/// queue behind others while another zone is free.
#[test]
fn jobs_that_wait_or_were_just_sent_count_as_taken() {
    let burst = [offer(1, 4, 0, 32), offer(2, 3, 0, 0)];
    assert_eq!(choose(&config(), &burst), Some(zone(2)));
    let queue = [offer(1, 1, 2, 0), offer(2, 0, 0, 0)];
    assert_eq!(choose(&config(), &queue), Some(zone(2)));
}

/// Guards against borrowing elsewhere while the organisation's own guarantee is unused.
#[test]
fn a_guarantee_comes_before_free_accelerators() {
    let mut config = config();
    config.guarantees.push(Guarantee {
        organisation: letrafa(),
        zone: zone(2),
        blocks: 1,
        accelerators: 16,
    });
    let offers = [offer(1, 4, 0, 0), offer(2, 0, 0, 0)];
    assert_eq!(choose(&config, &offers), Some(zone(2)));
}

/// Guards against jobs that are pending_accelerators to a closed or removed zone, or to one that is too small.
#[test]
fn closed_unknown_and_small_zones_are_passed_over() {
    let mut config = config();
    config.exceptions.push(Exception {
        id: ExceptionId::new("maintenance").expect("valid"),
        effect: ExceptionEffect::CloseZone(zone(1)),
        reason: "power work".into(),
        author: "operator".into(),
        at: Timestamp::ZERO,
    });
    let mut small = offer(2, 1, 0, 0);
    small.summary.accelerators = 8;
    let offers = [
        offer(1, 4, 0, 0),
        small,
        offer(3, 0, 5, 0),
        offer(4, 4, 0, 0),
    ];
    assert_eq!(choose(&config, &offers), Some(zone(3)));
    assert_eq!(choose(&config, &offers[..1]), None);
}
