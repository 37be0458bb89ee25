use std::cell::Cell;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

/// The environment variable that replaces the number of seeds of each run.
pub const SEEDS_VARIABLE: &str = "RATTANWINCH_SEEDS";

/// The environment variable that replaces the first seed of each run.
pub const FIRST_SEED_VARIABLE: &str = "RATTANWINCH_FIRST_SEED";

/// The lines of progress that a run prints.
const PROGRESS_LINES: u64 = 10;

/// A randomised run of one property over a list of seeds.
#[derive(Clone, Debug)]
pub struct PropertyTest {
    name: &'static str,
    first_seed: u64,
    seeds: u64,
    entropy_bytes: u32,
    known_seeds: &'static [u64],
}

impl PropertyTest {
    /// A run of 100 seeds with 4 KiB of entropy each.
    #[must_use]
    pub const fn new(name: &'static str) -> Self {
        Self {
            name,
            first_seed: 0,
            seeds: 100,
            entropy_bytes: 4096,
            known_seeds: &[],
        }
    }

    /// Sets the number of seeds, unless [`SEEDS_VARIABLE`] is set.
    #[must_use]
    pub const fn with_seeds(mut self, seeds: u64) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets how many random bytes one seed gives; a property that has used them up sees zeros.
    #[must_use]
    pub const fn with_entropy_bytes(mut self, bytes: u32) -> Self {
        self.entropy_bytes = bytes;
        self
    }

    /// Adds seeds that have shown a fault before; they run first, whatever the environment says.
    #[must_use]
    pub const fn with_regression_seeds(mut self, seeds: &'static [u64]) -> Self {
        self.known_seeds = seeds;
        self
    }

    /// Runs `property`, which returns the number of steps that it made, with every seed.
    ///
    /// # Panics
    ///
    /// If the property panics; `arbtest` then prints the seed.
    pub fn run(self, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<u64>) {
        let seeds = from_environment(SEEDS_VARIABLE).unwrap_or(self.seeds);
        let first = from_environment(FIRST_SEED_VARIABLE).unwrap_or(self.first_seed);
        let (steps, started) = (Cell::new(0), Instant::now());
        let all = self.known_seeds.iter().copied().chain(first..first + seeds);
        let seeds = seeds + self.known_seeds.len() as u64;
        for (done, seed) in all.enumerate() {
            arbtest(|u| {
                let made = property(u)?;
                steps.set(steps.get() + made);
                Ok(())
            })
            .seed(self.arbtest_seed(seed))
            .run();
            let done = done as u64 + 1;
            if done.is_multiple_of((seeds / PROGRESS_LINES).max(1)) {
                println!(
                    "{}: {done} of {seeds} seeds, {} steps",
                    self.name,
                    steps.get()
                );
            }
        }
        let (steps, took) = (steps.get(), started.elapsed().as_secs_f64());
        println!(
            "{}: no violation in {steps} steps over {seeds} seeds, {took:.1} s",
            self.name
        );
        assert!(steps > 0, "the run {} made no step", self.name);
    }

    /// `arbtest` takes the number of bytes from the lower half of its seed.
    const fn arbtest_seed(&self, seed: u64) -> u64 {
        (seed << 32) | self.entropy_bytes as u64
    }
}

fn from_environment(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{variable}={text}: expected a whole number")),
    )
}
