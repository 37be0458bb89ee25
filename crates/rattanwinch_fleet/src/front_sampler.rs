use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use smallvec::SmallVec;

/// The maximum number of fronts in a sample.
const SAMPLE_SIZE: usize = 4;

/// Chooses which fronts a process asks for the leader: a few at a time, others with each sample.
///
/// If every process asked all fronts, the calls would grow with the square of the site.
#[derive(Debug)]
pub struct FrontSampler {
    next: AtomicUsize,
}

impl FrontSampler {
    /// Creates a sampler for the process at `address`; others begin with other fronts.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut hasher = DefaultHasher::new();
        address.hash(&mut hasher);
        // Part of the range, so that the position does not wrap.
        let start = hasher.finish() % u64::from(u32::MAX);
        Self {
            next: AtomicUsize::new(usize::try_from(start).unwrap_or_default()),
        }
    }

    /// Returns the next sample.
    pub fn sample(&self, fronts: &[SocketAddr]) -> SmallVec<[SocketAddr; SAMPLE_SIZE]> {
        let position = self.next.fetch_add(SAMPLE_SIZE, Ordering::Relaxed);
        let start = position.checked_rem(fronts.len()).unwrap_or(0);
        let ring = fronts.iter().cycle().skip(start);
        ring.take(SAMPLE_SIZE.min(fronts.len())).copied().collect()
    }
}
