//! Relative speeds of targets, learned from the progress of their runs.
//!
//! Answers uneven targets: no message states a speed, and a gang is as slow as its slowest target.
//! The tasks of a step do similar work, so their rates of progress on different targets show how
//! fast these are. The model fits one usual rate for each step and one speed for each target to all
//! observed rates, by medians, so that single long tasks don't matter. Each fit begins with the
//! speeds of the last one: once work is placed by speed, the tasks of a step run on targets of
//! similar speed, and their rates alone would make all of them usual again.

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

/// Older rates don't count: a target may have been slow only for a while.
const MAX_RATE_AGE: Duration = Duration::from_secs(60);

/// The time over which the rate of a run is computed, so that a run of minutes shows within seconds
/// that its target has become slower.
const RATE_WINDOW_MS: u64 = 5_000;

/// The least number of runs of a step that are compared with each other.
const MIN_RUNS_PER_STEP: usize = 3;

/// The interval between two fits. Speeds change rarely, and a fit reads all rates.
const FIT_INTERVAL: Duration = Duration::from_millis(500);

/// The rounds of a fit: each step's usual rate from the speeds, then each speed from these rates.
const FIT_ROUNDS: usize = 4;

/// What a fit keeps of the last speed of a target. With two fits a second, half of a difference that
/// no rate confirms is forgotten within 3 minutes.
const SPEED_DECAY: f64 = 0.998;

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

/// The progress of a run on its target's clock, from which its rate is computed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProgressBase {
    clock_ms: u64,
    percent: u32,
    /// The progress in the latest lists.
    last_percent: u32,
}

impl ProgressBase {
    /// Begins with the first list that shows the run at work.
    pub(crate) fn begin(clock_ms: u64, percent: u32) -> Option<Self> {
        (percent > 0 && percent < 100).then_some(Self {
            clock_ms,
            percent,
            last_percent: percent,
        })
    }

    /// Returns the rate in per cent a millisecond if the run has gained enough since the base; after
    /// the window, the base moves on.
    ///
    /// There is none while the progress stands still: the run may be hung, or have finished its own
    /// work and wait for the other members of its gang.
    pub(crate) fn advance(&mut self, clock_ms: u64, percent: u32) -> Option<f64> {
        if percent <= std::mem::replace(&mut self.last_percent, percent) || percent >= 100 {
            return None;
        }
        let gained = percent.checked_sub(self.percent)?;
        let elapsed = clock_ms.checked_sub(self.clock_ms)?;
        if gained < MIN_GAIN_PERCENT || elapsed == 0 {
            return None;
        }
        if elapsed >= RATE_WINDOW_MS {
            self.clock_ms = clock_ms;
            self.percent = percent;
        }
        Some(f64::from(gained) / elapsed as f64)
    }
}

/// The logarithm of the rate of a run.
#[derive(Clone, Debug)]
struct ObservedRate {
    run: RunId,
    log_rate: f64,
    at: Timestamp,
}

/// The speeds of all targets that differ from the usual one.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetSpeeds {
    rates: BTreeMap<TargetName, VecDeque<ObservedRate>>,
    /// The logarithms of the fitted speeds, from which the next fit begins.
    log_speeds: BTreeMap<TargetName, f64>,
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

    /// Observes the rate of a run, in per cent a millisecond.
    pub(crate) fn observe(&mut self, target: &TargetName, run: &RunId, rate: f64, now: Timestamp) {
        let log_rate = rate.ln();
        let rates = self.rates.entry(target.clone()).or_default();
        self.has_new_rates = true;
        if let Some(known) = rates.iter_mut().find(|known| known.run == *run) {
            known.log_rate = log_rate;
            known.at = now;
            return;
        }
        if rates.len() >= MAX_RATES_PER_TARGET {
            rates.pop_front();
        }
        rates.push_back(ObservedRate {
            run: run.clone(),
            log_rate,
            at: now,
        });
    }

    /// Drops what is known of a target.
    pub(crate) fn forget_target(&mut self, target: &TargetName) {
        self.rates.remove(target);
        self.log_speeds.remove(target);
        self.speeds.remove(target);
    }

    /// Fits the speeds to new rates, if it is time.
    pub(crate) fn fit_if_due(&mut self, now: Timestamp) {
        if self.has_new_rates && now >= self.next_fit_at {
            self.next_fit_at = now + FIT_INTERVAL;
            self.has_new_rates = false;
            for rates in self.rates.values_mut() {
                rates.retain(|observed| now.since(observed.at) <= MAX_RATE_AGE);
            }
            self.fit();
        }
    }

    fn fit(&mut self) {
        let targets: Vec<&TargetName> = self.rates.keys().collect();
        let earlier: Vec<f64> = targets
            .iter()
            .map(|&target| self.log_speeds.get(target).copied().unwrap_or(0.0) * SPEED_DECAY)
            .collect();
        let mut by_step: BTreeMap<&StepId, Vec<(usize, f64)>> = BTreeMap::new();
        for (number, rates) in self.rates.values().enumerate() {
            for observed in rates {
                let of_step = by_step.entry(&observed.run.task.step).or_default();
                of_step.push((number, observed.log_rate));
            }
        }
        by_step.retain(|_, rates| rates.len() >= MIN_RUNS_PER_STEP);
        let mut log_speeds = earlier.clone();
        let mut differences: Vec<Vec<f64>> = vec![Vec::new(); targets.len()];
        let mut values = Vec::new();
        for _ in 0..FIT_ROUNDS {
            for rates in by_step.values() {
                values.clear();
                let usual_rates = rates
                    .iter()
                    .map(|&(number, rate)| rate - log_speeds[number]);
                values.extend(usual_rates);
                let (lower, upper) = middle(&mut values);
                let usual_rate = f64::midpoint(lower, upper);
                for &(number, rate) in rates {
                    differences[number].push(rate - usual_rate);
                }
            }
            for (number, differences) in differences.iter_mut().enumerate() {
                // The earlier speed counts as one observation, so that a single one changes nothing.
                let earlier = earlier[number];
                differences.push(earlier);
                let (lower, upper) = middle(differences);
                differences.clear();
                log_speeds[number] = if (lower - earlier).abs() < (upper - earlier).abs() {
                    lower
                } else {
                    upper
                };
            }
            values.clone_from(&log_speeds);
            let (lower, upper) = middle(&mut values);
            let usual = f64::midpoint(lower, upper);
            for log_speed in &mut log_speeds {
                *log_speed -= usual;
            }
        }
        let log_speeds = targets.into_iter().cloned().zip(log_speeds);
        self.log_speeds = log_speeds.collect();
        let speeds = self.log_speeds.iter();
        let speeds =
            speeds.map(|(target, log_speed)| (target.clone(), Speed::from_log(*log_speed)));
        self.speeds = speeds.filter(|(_, speed)| *speed != Speed::USUAL).collect();
    }
}

/// Returns the two middle values, which are the same of an odd number; zero if there are none.
/// Changes the order of the values.
pub(crate) fn middle(values: &mut [f64]) -> (f64, f64) {
    values.sort_unstable_by(f64::total_cmp);
    let value = |index: usize| values.get(index).copied().unwrap_or(0.0);
    (
        value(values.len().saturating_sub(1) / 2),
        value(values.len() / 2),
    )
}
