//! Relative speeds of targets, learned from the progress of their runs.
//!
//! Answers uneven targets: no message states a speed, and a gang is as slow as its slowest target.
//! The tasks of a step do similar work, so their rates of progress on different targets show how
//! fast these are. The model fits one usual rate for each step and one speed for each target to all
//! observed rates, by medians, so that single long tasks don't matter.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::RunId;
use crate::StepId;

/// The least progress, in per cent, from which a rate is computed: progress is listed in whole per
/// cent.
const MIN_GAIN_PERCENT: u32 = 8;

/// The number of rates kept for each target, the latest ones.
const MAX_RATES_PER_TARGET: usize = 12;

/// The least number of runs of a step that are compared with each other.
const MIN_RUNS_PER_STEP: usize = 3;

/// The interval between two fits. Speeds change rarely, and a fit reads all rates.
const FIT_INTERVAL: Duration = Duration::from_millis(500);

/// The rounds of a fit: each step's usual rate from the speeds, then each speed from these rates.
const FIT_ROUNDS: usize = 4;

/// A target that differs by less counts as usual: the work of tasks of a step differs by as much.
const MIN_DIFFERENCE_PERCENT: u32 = 15;

/// The bounds of a speed. Anything beyond them is an error of the observation.
const MIN_SPEED_PERCENT: u32 = 25;
const MAX_SPEED_PERCENT: u32 = 400;

value! { copy
    /// The speed of a target in per cent of the usual speed.
    pub struct Speed(u32);
}

impl Speed {
    /// The speed of a target of which nothing else is known.
    pub const USUAL: Self = Self(100);

    fn from_log(log: f64) -> Self {
        let percent = (log.exp() * 100.0).round();
        let percent = percent.clamp(f64::from(MIN_SPEED_PERCENT), f64::from(MAX_SPEED_PERCENT));
        let percent = percent as u32;
        if percent.abs_diff(100) < MIN_DIFFERENCE_PERCENT {
            return Self::USUAL;
        }
        Self(percent)
    }

    /// Returns the speed in per cent.
    #[must_use]
    pub const fn percent(self) -> u32 {
        self.0
    }

    /// Returns how long work takes on the target that usually takes `usual`.
    #[must_use]
    pub fn run_time(self, usual: Duration) -> Duration {
        usual.saturating_mul(100) / self.0
    }

    /// Returns how long work usually takes that takes `run_time` on the target.
    #[must_use]
    pub fn usual_run_time(self, run_time: Duration) -> Duration {
        run_time.saturating_mul(self.0) / 100
    }
}

value! { copy
    /// The classes in which targets are told apart by their speed.
    pub(crate) enum SpeedClass {
        Slow,
        Usual,
        Fast,
    }
}

impl SpeedClass {
    /// From the fastest to the slowest.
    pub(crate) const DESCENDING: [Self; 3] = [Self::Fast, Self::Usual, Self::Slow];
}

impl From<Speed> for SpeedClass {
    fn from(speed: Speed) -> Self {
        // Halfway, as a ratio, between the usual speed and one that is half as high again.
        match speed.percent() {
            0..=81 => Self::Slow,
            82..=122 => Self::Usual,
            _ => Self::Fast,
        }
    }
}

value! { copy
    /// Which targets a step gets if their speeds differ.
    pub(crate) enum SpeedPreference {
        /// The step has little time to spare.
        Fast,
        /// The step is on time on any target, and leaves fast ones to others.
        Slow,
        /// None; the room decides.
        Any,
    }
}

impl SpeedPreference {
    /// Returns the preference of a step that takes about `run_time` and is on time if it starts
    /// within `slack`; `None` if its job has no objective.
    pub(crate) fn of(slack: Option<Duration>, run_time: Duration) -> Self {
        match slack {
            Some(slack) if slack < run_time => Self::Fast,
            // On a slow target it may take two thirds more, and its estimate is rough.
            Some(slack) if !run_time.is_zero() && slack >= run_time * 3 / 2 => Self::Slow,
            _ => Self::Any,
        }
    }

    /// Returns the rank of a target, the lowest first.
    pub(crate) fn rank(self, class: SpeedClass) -> u8 {
        match self {
            Self::Fast => SpeedClass::Fast as u8 - class as u8,
            Self::Slow => class as u8,
            Self::Any => 0,
        }
    }
}

/// The progress of a run on its target's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProgressBase {
    clock_ms: u64,
    percent: u32,
}

impl ProgressBase {
    /// Begins with the first list that shows the run at work.
    pub(crate) fn begin(clock_ms: u64, percent: u32) -> Option<Self> {
        (percent > 0 && percent < 100).then_some(Self { clock_ms, percent })
    }

    /// Returns the rate in per cent a millisecond; `None` if the run has gained too little, or may
    /// have finished its own work and wait for the other members of its gang.
    fn rate(self, clock_ms: u64, percent: u32) -> Option<f64> {
        let gained = percent.checked_sub(self.percent)?;
        let elapsed = clock_ms.checked_sub(self.clock_ms)?;
        (gained >= MIN_GAIN_PERCENT && percent < 100 && elapsed > 0)
            .then(|| f64::from(gained) / elapsed as f64)
    }
}

/// The logarithm of the rate of a run.
#[derive(Clone, Debug)]
struct ObservedRate {
    run: RunId,
    log_rate: f64,
}

/// The speeds of all targets that differ from the usual one.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetSpeeds {
    rates: BTreeMap<TargetName, VecDeque<ObservedRate>>,
    speeds: BTreeMap<TargetName, Speed>,
    has_new_rates: bool,
    next_fit_at: Timestamp,
}

impl TargetSpeeds {
    /// Returns the speed of a target.
    pub(crate) fn speed(&self, target: &TargetName) -> Speed {
        self.speeds.get(target).copied().unwrap_or(Speed::USUAL)
    }

    /// Returns the targets whose speed differs from the usual one.
    pub(crate) fn unusual(&self) -> impl Iterator<Item = (&TargetName, Speed)> {
        self.speeds.iter().map(|(target, speed)| (target, *speed))
    }

    /// Observes the progress of a run in its target's lists.
    pub(crate) fn observe(
        &mut self,
        target: &TargetName,
        run: &RunId,
        base: ProgressBase,
        clock_ms: u64,
        percent: u32,
    ) {
        let Some(rate) = base.rate(clock_ms, percent) else {
            return;
        };
        let log_rate = rate.ln();
        let rates = self.rates.entry(target.clone()).or_default();
        self.has_new_rates = true;
        if let Some(known) = rates.iter_mut().find(|known| known.run == *run) {
            known.log_rate = log_rate;
            return;
        }
        if rates.len() >= MAX_RATES_PER_TARGET {
            rates.pop_front();
        }
        rates.push_back(ObservedRate {
            run: run.clone(),
            log_rate,
        });
    }

    /// Drops what is known of a target.
    pub(crate) fn forget_target(&mut self, target: &TargetName) {
        self.rates.remove(target);
        self.speeds.remove(target);
    }

    /// Fits the speeds to new rates, if it is time.
    pub(crate) fn fit_if_due(&mut self, now: Timestamp) {
        if self.has_new_rates && now >= self.next_fit_at {
            self.next_fit_at = now + FIT_INTERVAL;
            self.has_new_rates = false;
            self.fit();
        }
    }

    fn fit(&mut self) {
        let targets: Vec<&TargetName> = self.rates.keys().collect();
        let mut by_step: BTreeMap<&StepId, Vec<(usize, f64)>> = BTreeMap::new();
        for (number, rates) in self.rates.values().enumerate() {
            for observed in rates {
                let of_step = by_step.entry(&observed.run.task.step).or_default();
                of_step.push((number, observed.log_rate));
            }
        }
        by_step.retain(|_, rates| rates.len() >= MIN_RUNS_PER_STEP);
        let mut log_speeds = vec![0.0; targets.len()];
        let mut differences: Vec<Vec<f64>> = vec![Vec::new(); targets.len()];
        for _ in 0..FIT_ROUNDS {
            for rates in by_step.values() {
                let usual_rate = rates
                    .iter()
                    .map(|&(number, rate)| rate - log_speeds[number]);
                let (lower, upper) = middle(usual_rate.collect());
                let usual_rate = f64::midpoint(lower, upper);
                for &(number, rate) in rates {
                    differences[number].push(rate - usual_rate);
                }
            }
            for (log_speed, differences) in log_speeds.iter_mut().zip(&mut differences) {
                // One neutral observation more, so that a single one changes nothing.
                differences.push(0.0);
                let (lower, upper) = middle(std::mem::take(differences));
                *log_speed = if lower.abs() < upper.abs() {
                    lower
                } else {
                    upper
                };
            }
            let (lower, upper) = middle(log_speeds.clone());
            let usual = f64::midpoint(lower, upper);
            for log_speed in &mut log_speeds {
                *log_speed -= usual;
            }
        }
        let speeds = targets.into_iter().cloned().zip(log_speeds);
        let speeds = speeds.map(|(target, log_speed)| (target, Speed::from_log(log_speed)));
        self.speeds = speeds.filter(|(_, speed)| *speed != Speed::USUAL).collect();
    }
}

/// Returns the two middle values, which are the same of an odd number; zero if there are none.
fn middle(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let value = |index: usize| values.get(index).copied().unwrap_or(0.0);
    (
        value(values.len().saturating_sub(1) / 2),
        value(values.len() / 2),
    )
}
