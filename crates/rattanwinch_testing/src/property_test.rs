use std::cell::Cell;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

/// The environment variable that overrides the number of seeds of each property test.
pub const SEEDS_VARIABLE: &str = "RATTANWINCH_SEEDS";

/// The environment variable that overrides the first seed of each property test.
pub const FIRST_SEED_VARIABLE: &str = "RATTANWINCH_FIRST_SEED";

/// The number of progress lines that a property test prints.
const PROGRESS_LINES: u64 = 10;

/// A property test over a list of seeds.
#[derive(Clone, Debug)]
pub struct PropertyTest {
    name: &'static str,
    first_seed: u64,
    seed_count: u64,
    entropy_bytes: u32,
    regression_seeds: &'static [u64],
}

impl PropertyTest {
    /// Creates a property test with 100 seeds and 4 KiB of entropy each.
    #[must_use]
    pub const fn new(name: &'static str) -> Self {
        Self {
            name,
            first_seed: 0,
            seed_count: 100,
            entropy_bytes: 4096,
            regression_seeds: &[],
        }
    }

    /// Sets the number of seeds, unless [`SEEDS_VARIABLE`] is set.
    #[must_use]
    pub const fn with_seeds(mut self, seed_count: u64) -> Self {
        self.seed_count = seed_count;
        self
    }

    /// Sets the number of random bytes per seed; a property that reads more gets zeros.
    #[must_use]
    pub const fn with_entropy_bytes(mut self, bytes: u32) -> Self {
        self.entropy_bytes = bytes;
        self
    }

    /// Adds seeds that have failed before; they run first, regardless of the environment variables.
    #[must_use]
    pub const fn with_regression_seeds(mut self, seeds: &'static [u64]) -> Self {
        self.regression_seeds = seeds;
        self
    }

    /// Checks `property`, which returns the number of its steps, with every seed.
    ///
    /// # Panics
    ///
    /// If the property panics; `arbtest` then prints the seed.
    pub fn run(self, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<u64>) {
        let seed_count = read_env_number(SEEDS_VARIABLE).unwrap_or(self.seed_count);
        let first_seed = read_env_number(FIRST_SEED_VARIABLE).unwrap_or(self.first_seed);
        let (steps, started) = (Cell::new(0), Instant::now());
        let all_seeds = self
            .regression_seeds
            .iter()
            .copied()
            .chain(first_seed..first_seed + seed_count);
        let seed_count = seed_count + self.regression_seeds.len() as u64;
        for (done, seed) in all_seeds.enumerate() {
            arbtest(|u| {
                let new_steps = property(u)?;
                steps.set(steps.get() + new_steps);
                Ok(())
            })
            .seed(self.arbtest_seed(seed))
            .run();
            let done = done as u64 + 1;
            if done.is_multiple_of((seed_count / PROGRESS_LINES).max(1)) {
                println!(
                    "{}: {done} of {seed_count} seeds, {} steps",
                    self.name,
                    steps.get()
                );
            }
        }
        let (steps, elapsed_s) = (steps.get(), started.elapsed().as_secs_f64());
        println!(
            "{}: no violation in {steps} steps over {seed_count} seeds, {elapsed_s:.1} s",
            self.name
        );
        assert!(steps > 0, "property test {} made no steps", self.name);
    }

    /// Returns the seed for `arbtest`, whose lower half is the number of random bytes.
    const fn arbtest_seed(&self, seed: u64) -> u64 {
        (seed << 32) | self.entropy_bytes as u64
    }
}

fn read_env_number(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().unwrap_or_else(|_| {
        panic!("environment variable {variable}={text}: expected a whole number")
    }))
}
