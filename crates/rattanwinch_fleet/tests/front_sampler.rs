//! Samples of the fronts that a process asks for the leader.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use rattanwinch_fleet::FrontSampler;

fn addresses(count: u16) -> Vec<SocketAddr> {
    let ports = 1..=count;
    ports
        .map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
        .collect()
}

/// Guards against a front that is never asked, for example the leader itself, and against more than
/// a few questions at a time.
#[test]
fn each_front_is_asked_after_a_few_samples() {
    for count in [1, 2, 4, 5, 7, 8, 55, 256] {
        let fronts = addresses(count);
        let sampler = FrontSampler::new(fronts[0]);
        let mut asked = BTreeSet::new();
        for _ in 0..fronts.len().div_ceil(4) + 1 {
            let sample = sampler.sample(&fronts);
            let distinct: BTreeSet<_> = sample.iter().copied().collect();
            assert_eq!(distinct.len(), sample.len(), "{count} fronts");
            assert_eq!(sample.len(), fronts.len().min(4), "{count} fronts");
            asked.extend(distinct);
        }
        assert_eq!(asked.len(), fronts.len(), "{count} fronts");
    }
    assert!(FrontSampler::new(addresses(1)[0]).sample(&[]).is_empty());
}

/// Guards against a loss of the leader after which all processes ask the same fronts at once.
#[test]
fn processes_begin_with_different_fronts() {
    let fronts = addresses(55);
    let mut questions = [0; 55];
    for process in addresses(240) {
        for front in FrontSampler::new(process).sample(&fronts) {
            questions[usize::from(front.port()) - 1] += 1;
        }
    }
    // 240 processes ask 960 questions, about 17 of each front.
    let most = questions.iter().max();
    assert!(most < Some(&(4 * 17)), "{questions:?}");
}
