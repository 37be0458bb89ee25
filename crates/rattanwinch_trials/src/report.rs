use std::fmt;

use serde::Serialize;

use crate::comparison::SchedulerKind;
use crate::measures::Measures;
use crate::profile::Profile;

/// The distribution of a figure over all seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// The median over the seeds.
    pub median: f64,
    /// The minimum.
    pub min: f64,
    /// The maximum.
    pub max: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
        Self {
            median: at(values.len() / 2),
            min: at(0),
            max: at(values.len().saturating_sub(1)),
        }
    }
}

/// A figure for all schedulers.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The name of the figure, with its unit.
    pub figure: &'static str,
    /// The spread for each scheduler, in the order of the report.
    pub values: Vec<Spread>,
    /// The spread of the ratio to the first scheduler, for each scheduler.
    pub ratios: Vec<Spread>,
}

/// The results of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct TrialReport {
    /// The name of the profile.
    pub profile: &'static str,
    /// The number of seeds, counted from 0.
    pub seeds: usize,
    /// The names of the schedulers.
    pub schedulers: Vec<&'static str>,
    /// The figures.
    pub rows: Vec<Row>,
    /// The measures of each seed, in the order of the schedulers.
    pub by_seed: Vec<[Measures; 3]>,
}

type Figure = (&'static str, fn(&Measures) -> f64);

const FIGURES: [Figure; 28] = [
    ("completion p50 (s)", |m| m.completion_s.p50),
    ("completion p95 (s)", |m| m.completion_s.p95),
    ("completion p99 (s)", |m| m.completion_s.p99),
    ("slowdown p50", |m| m.slowdown.p50),
    ("slowdown p95", |m| m.slowdown.p95),
    ("slowdown p99", |m| m.slowdown.p99),
    ("fragmentation (share)", |m| m.fragmentation),
    ("unusable of capacity (share)", |m| m.unusable_of_capacity),
    ("zone change, useful (share)", |m| m.zone_change_useful),
    ("zone change, packable (share)", |m| m.zone_change.packable),
    ("zone change, leaving (share)", |m| m.zone_change.leaving),
    ("zone change, lost (share)", |m| m.zone_change.lost),
    ("zone change, fits own zone", |m| m.zone_change.fits_own),
    ("zone change, fits other zone", |m| m.zone_change.fits_other),
    ("guarantee wait p50 (s)", |m| m.guarantee_wait_s.p50),
    ("guarantee wait p95 (s)", |m| m.guarantee_wait_s.p95),
    ("guarantee wait p99 (s)", |m| m.guarantee_wait_s.p99),
    ("guarantee wait max (s)", |m| m.guarantee_wait_max_s),
    ("urgent wait p50 (s)", |m| m.urgent_wait_s.p50),
    ("urgent wait p95 (s)", |m| m.urgent_wait_s.p95),
    ("lost to evictions (acc-h)", |m| m.eviction_lost_h),
    ("evictions", |m| m.evictions as f64),
    ("lost to failures (acc-h)", |m| m.failure_lost_h),
    ("utilisation (share)", |m| m.utilisation),
    ("jobs succeeded", |m| m.succeeded as f64),
    ("jobs not completed", |m| m.not_completed as f64),
    ("jobs unfinished", |m| m.unfinished as f64),
    ("invariants broken", |m| m.violations as f64),
];

impl TrialReport {
    pub(crate) fn new(profile: Profile, by_seed: Vec<[Measures; 3]>) -> Self {
        let rows = FIGURES.iter().map(|(figure, read)| {
            let spread =
                |kind: usize| Spread::of(by_seed.iter().map(|seed| read(&seed[kind])).collect());
            let ratio = |kind: usize| {
                let nonzero = by_seed.iter().filter(|seed| read(&seed[0]) > 0.0);
                Spread::of(
                    nonzero
                        .map(|seed| read(&seed[kind]) / read(&seed[0]))
                        .collect(),
                )
            };
            Row {
                figure,
                values: (0..SchedulerKind::ALL.len()).map(spread).collect(),
                ratios: (0..SchedulerKind::ALL.len()).map(ratio).collect(),
            }
        });
        Self {
            profile: profile.as_str(),
            seeds: by_seed.len(),
            schedulers: SchedulerKind::ALL.map(SchedulerKind::as_str).to_vec(),
            rows: rows.collect(),
            by_seed,
        }
    }
}

fn number(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}

impl fmt::Display for TrialReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (profile, seeds) = (self.profile, self.seeds);
        writeln!(
            f,
            "profile {profile}, {seeds} seeds; median [min .. max] over the seeds"
        )?;
        write!(f, "{:<30}", "")?;
        for scheduler in &self.schedulers {
            write!(f, "{scheduler:>30}")?;
        }
        let first = self.schedulers[0];
        writeln!(f, "{:>30}", format!("policy / {first}"))?;
        for row in &self.rows {
            write!(f, "{:<30}", row.figure)?;
            for spread in row.values.iter().chain(row.ratios.last()) {
                let (median, min, max) = (
                    number(spread.median),
                    number(spread.min),
                    number(spread.max),
                );
                write!(f, "{:>30}", format!("{median} [{min} .. {max}]"))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
