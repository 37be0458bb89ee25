use std::collections::BTreeSet;

use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::Speed;
use rattanwinch_types::TargetName;

/// Exports what the scheduler has learned as metrics.
#[derive(Debug, Default)]
pub(crate) struct LearnedMetrics {
    /// The targets whose exported speed differs from the usual one.
    unusual_targets: BTreeSet<TargetName>,
}

impl LearnedMetrics {
    /// Exports the speeds of targets that differ, and the run time ratios of queues.
    pub(crate) fn record(&mut self, scheduler: &Scheduler) {
        let unusual = scheduler.unusual_speeds();
        let unusual: BTreeSet<_> = unusual
            .map(|(target, speed)| {
                record_speed(target, speed);
                target.clone()
            })
            .collect();
        // A gauge can't be removed, so a target that no longer differs is set back.
        for target in self.unusual_targets.difference(&unusual) {
            record_speed(target, Speed::USUAL);
        }
        self.unusual_targets = unusual;
        for (queue, ratio) in scheduler.run_time_ratios() {
            let queue = queue.as_str().to_owned();
            metrics::gauge!("rattanwinch_run_time_ratio", "queue" => queue).set(ratio);
        }
    }
}

/// A front that no longer schedules must not show the speeds that it knew.
impl Drop for LearnedMetrics {
    fn drop(&mut self) {
        for target in &self.unusual_targets {
            record_speed(target, Speed::USUAL);
        }
    }
}

fn record_speed(target: &TargetName, speed: Speed) {
    let target = target.as_str().to_owned();
    let speed = f64::from(speed.percent()) / 100.0;
    metrics::gauge!("rattanwinch_target_speed", "target" => target).set(speed);
}
