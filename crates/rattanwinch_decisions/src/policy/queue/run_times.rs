use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;

/// Number of latest ended jobs per organisation that the correction is computed from.
const MAX_RATIOS: usize = 32;

/// Corrects declared run times by the actual run times of earlier jobs of the same organisation.
///
/// The correction is the median of the latest ratios, each limited to a factor of ten, by which
/// declarations may be off. A few outliers don't change it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    ratios_permille: BTreeMap<Organisation, VecDeque<u64>>,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl RunTimes {
    pub(crate) fn record(&mut self, job: &JobSpec, took: Duration) {
        let declared = millis(job.declared_run_time).max(1);
        let ratio = millis(took).saturating_mul(1000) / declared;
        let organisation = job.key.organisation.clone();
        let ratios = self.ratios_permille.entry(organisation).or_default();
        ratios.push_back(ratio.clamp(100, 10_000));
        if ratios.len() > MAX_RATIOS {
            ratios.pop_front();
        }
    }

    /// Expected run time: the declared one times the median ratio, once there are four ratios.
    pub(crate) fn expected(&self, job: &JobSpec) -> Duration {
        let ratios = self.ratios_permille.get(&job.key.organisation);
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
