//! The request counters of the error budget burn rates.

use rattanwinch_decisions::BurnWindow;
use rattanwinch_decisions::BurnWindows;
use rattanwinch_operators::BurnCounters;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1_800_000_000_000);

/// Guards against requests that are counted twice or not at all when threads add the same
/// organisation concurrently or a drain runs at the same time.
#[test]
fn every_request_is_counted_once() {
    let counters = BurnCounters::new();
    let mut windows = BurnWindows::new();
    let organisations = ["a", "b", "c"].map(|name| Organisation::new(name).expect("a valid name"));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for number in 0..3000 {
                    counters.record(&organisations[number % 3], number % 2 == 0);
                }
            });
        }
        for _ in 0..100 {
            counters.drain_into(&mut windows, NOW);
        }
    });
    counters.drain_into(&mut windows, NOW);
    for burn in windows.report(999_000, NOW).organisations {
        let count = burn.count(BurnWindow::Hour);
        assert_eq!(
            (count.good, count.bad),
            (2000, 2000),
            "{}",
            burn.organisation
        );
    }
    assert_eq!(counters.untracked(), 0);
}
