//! Tests of the burn report's arithmetic.

use std::time::Duration;

use rattanwinch_decisions::BurnAlert;
use rattanwinch_decisions::BurnWindow;
use rattanwinch_decisions::BurnWindows;
use rattanwinch_decisions::MAX_BURN_ORGANISATIONS;
use rattanwinch_decisions::OrganisationBurn;
use rattanwinch_decisions::RequestCount;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

/// 99.9%: one bad request in a thousand spends the budget exactly.
const SERVICE_LEVEL_PPM: u32 = 999_000;

const START: Timestamp = Timestamp::from_millis(1_800_000_000_000);

fn letrafa() -> Organisation {
    Organisation::new("letrafa").expect("a valid name")
}

/// Adds `count` per minute for one organisation from `START` on, for `minutes`.
fn add_constant_rate(windows: &mut BurnWindows, count: RequestCount, minutes: u64) -> Timestamp {
    let mut now = START;
    for _ in 0..minutes {
        windows.add(&letrafa(), count, now);
        now = now + Duration::from_secs(60);
    }
    now
}

fn only_organisation(windows: &BurnWindows, now: Timestamp) -> OrganisationBurn {
    let report = windows.report(SERVICE_LEVEL_PPM, now);
    report
        .organisations
        .into_iter()
        .next()
        .expect("a request was recorded")
}

/// Guards against a rate that isn't the share of bad requests over the allowed share.
#[test]
fn the_rate_is_relative_to_the_budget() {
    let mut windows = BurnWindows::new();
    for number in 0..1000 {
        windows.record(&letrafa(), number >= 2, START);
    }
    let burn = only_organisation(&windows, START);
    for window in BurnWindow::ALL {
        assert_eq!(burn.count(window), RequestCount { good: 998, bad: 2 });
        assert_eq!(burn.rate_permille(window), 2000);
    }
    assert_eq!(burn.alerts().collect::<Vec<_>>(), [BurnAlert::Ticket]);
}

/// Guards against alerts that fire below their rates or don't fire at them.
#[test]
fn alerts_fire_at_their_rates() {
    let count = |bad| RequestCount {
        good: 10_000 - bad,
        bad,
    };
    let cases: [(u64, &[BurnAlert]); 5] = [
        (9, &[]),
        (10, &[BurnAlert::Ticket]),
        (59, &[BurnAlert::Ticket]),
        (60, &[BurnAlert::Slow, BurnAlert::Ticket]),
        (144, &BurnAlert::ALL),
    ];
    for (bad, expected) in cases {
        let mut windows = BurnWindows::new();
        let now = add_constant_rate(&mut windows, count(bad), 60);
        let alerts: Vec<_> = only_organisation(&windows, now).alerts().collect();
        assert_eq!(alerts, expected, "{bad} of 10000 are bad");
    }
}

/// Guards against alerts that continue after the fault has ended, which the short window prevents.
#[test]
fn the_short_window_ends_an_alert() {
    let mut windows = BurnWindows::new();
    let bad = RequestCount { good: 0, bad: 100 };
    let mut now = add_constant_rate(&mut windows, bad, 60);
    assert!(only_organisation(&windows, now).fires(BurnAlert::Fast));
    let good = RequestCount { good: 100, bad: 0 };
    for _ in 0..6 {
        windows.add(&letrafa(), good, now);
        now = now + Duration::from_secs(60);
    }
    let burn = only_organisation(&windows, now);
    assert!(!burn.fires(BurnAlert::Fast));
    assert!(burn.fires(BurnAlert::Slow), "half an hour is still bad");
}

/// Guards against windows that drop counts too early or too late.
#[test]
fn windows_drop_counts_after_their_length() {
    for window in BurnWindow::ALL {
        let mut windows = BurnWindows::new();
        windows.record(&letrafa(), false, START);
        // One bucket is the resolution: 10 s up to an hour, 5 min above.
        let bucket = Duration::from_secs(if window.length() > Duration::from_secs(3600) {
            300
        } else {
            10
        });
        let within = START + (window.length() - bucket * 2);
        assert_eq!(
            only_organisation(&windows, within).count(window).bad,
            1,
            "{window:?}"
        );
        let past = START + window.length() + bucket;
        assert_eq!(
            only_organisation(&windows, past).count(window).bad,
            0,
            "{window:?}"
        );
    }
}

/// Guards against old counts that reappear when a bucket is reused, and against a clock that stands
/// still or moves back.
#[test]
fn reused_buckets_start_empty() {
    let mut windows = BurnWindows::new();
    windows.record(&letrafa(), false, START);
    let later = START + Duration::from_secs(3 * 24 * 3600);
    windows.record(&letrafa(), true, later);
    let expected = RequestCount { good: 1, bad: 0 };
    for window in BurnWindow::ALL {
        assert_eq!(
            only_organisation(&windows, later).count(window),
            expected,
            "{window:?}"
        );
    }
    windows.record(&letrafa(), true, START);
    assert_eq!(
        only_organisation(&windows, later).count(BurnWindow::ThreeDays),
        expected
    );
}

/// Guards against memory that grows with made-up organisation names.
#[test]
fn the_number_of_organisations_is_bounded() {
    let mut windows = BurnWindows::new();
    for number in 0..MAX_BURN_ORGANISATIONS + 7 {
        let organisation = Organisation::new(format!("o{number}")).expect("a valid name");
        windows.record(&organisation, true, START);
    }
    let report = windows.report(SERVICE_LEVEL_PPM, START);
    assert_eq!(report.organisations.len(), MAX_BURN_ORGANISATIONS);
    assert_eq!(windows.untracked(), 7);
    windows.retain(|organisation| organisation.as_str() == "o1");
    let report = windows.report(SERVICE_LEVEL_PPM, START);
    assert_eq!(report.organisations.len(), 1);
}
