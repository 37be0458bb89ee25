use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;

/// The number of ended jobs that an organisation's correction is taken from.
const REMEMBERED: usize = 32;

/// Corrects declared run times by what earlier jobs of the same organisation took.
///
/// The correction is the median of the latest ratios, limited to the factor of ten by which
/// declarations may be off, so a few odd jobs don't change it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    permille: BTreeMap<Organisation, VecDeque<u64>>,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl RunTimes {
    pub(crate) fn learn(&mut self, job: &JobSpec, took: Duration) {
        let declared = millis(job.declared_run_time).max(1);
        let ratio = millis(took).saturating_mul(1000) / declared;
        let organisation = job.key.organisation.clone();
        let ratios = self.permille.entry(organisation).or_default();
        ratios.push_back(ratio.clamp(100, 10_000));
        if ratios.len() > REMEMBERED {
            ratios.pop_front();
        }
    }

    /// The expected run time.
    pub(crate) fn expect(&self, job: &JobSpec) -> Duration {
        let ratios = self.permille.get(&job.key.organisation);
        let Some(ratios) = ratios.filter(|ratios| ratios.len() >= 4) else {
            return job.declared_run_time;
        };
        let mut sorted: Vec<u64> = ratios.iter().copied().collect();
        let middle = sorted.len() / 2;
        let (_, median, _) = sorted.select_nth_unstable(middle);
        let declared = millis(job.declared_run_time);
        Duration::from_millis(declared.saturating_mul(*median) / 1000)
    }
}
