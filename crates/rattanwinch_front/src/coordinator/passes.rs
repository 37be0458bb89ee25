use std::time::Duration;
use std::time::Instant;

use rattanwinch_types::Timestamp;
use slog::warn;

use crate::coordinator::Coordinator;

/// Duration of a placement pass from which it is logged. Reports, orders and calls wait for a pass.
const SLOW_PASS: Duration = Duration::from_millis(20);

/// Interval between two log lines about slow passes.
const SLOW_PASS_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl Coordinator {
    /// Runs a placement pass, records its duration, and logs what it has looked at if it was slow.
    pub(super) fn place_tasks(&mut self, now: Timestamp) {
        let begun = Instant::now();
        self.scheduler
            .place_tasks(now, self.state.clock.wall_time());
        let took = begun.elapsed();
        metrics::histogram!("rattanwinch_placement_pass_seconds").record(took.as_secs_f64());
        let logged_at = self.slow_pass_logged_at;
        let is_due = logged_at.is_none_or(|at| now.since(at) >= SLOW_PASS_LOG_INTERVAL);
        if took < SLOW_PASS || !is_due {
            return;
        }
        self.slow_pass_logged_at = Some(now);
        let work = self.scheduler.last_pass();
        let largest = work.largest_job.as_ref();
        warn!(self.state.log, "slow placement pass"; "took_ms" => took.as_millis(),
            "steps" => work.steps,
            "largest_job" => largest.map_or("", |(job, _)| job.as_str()),
            "largest_job_steps" => largest.map_or(0, |(_, steps)| *steps));
    }
}
