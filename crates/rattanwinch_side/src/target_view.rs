use std::time::Duration;

use rattanwinch_scheduling::EndedTask;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunningTask;
use rattanwinch_scheduling::TargetDescription;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_site_executors::ExecutorHeartbeat;
use rattanwinch_site_executors::ExecutorLists;
use rattanwinch_types::Timestamp;

/// What the agent believes of one life of its target.
///
/// Answers of the executor may overtake each other, so lists are ordered by the executor's own
/// clock, and a run whose start was confirmed stays in view until lists made after that are read.
#[derive(Clone, Debug)]
pub struct TargetView {
    description: TargetDescription,
    sequence: u64,
    /// The executor's clock in an answer, and when that answer came.
    clock: (u64, Timestamp),
    lists_clock_ms: Option<u64>,
    running: Vec<RunningTask>,
    ended: Vec<EndedTask>,
    /// Starts that were confirmed, with the executor's clock then.
    started: Vec<(RunId, u64)>,
    /// The executor hasn't answered lately, so it gets nothing new.
    unresponsive: bool,
}

impl TargetView {
    /// Starts from the first heartbeat of a life.
    #[must_use]
    pub fn new(heartbeat: &ExecutorHeartbeat, now: Timestamp) -> Self {
        Self {
            description: heartbeat.description.clone(),
            sequence: heartbeat.sequence,
            clock: (heartbeat.clock_ms, now),
            lists_clock_ms: None,
            running: Vec::new(),
            ended: Vec::new(),
            started: Vec::new(),
            unresponsive: false,
        }
    }

    /// The executor as it described itself last.
    #[must_use]
    pub const fn description(&self) -> &TargetDescription {
        &self.description
    }

    /// Takes a further heartbeat of the same life; true if something has changed.
    pub fn heartbeat(&mut self, heartbeat: &ExecutorHeartbeat, now: Timestamp) -> bool {
        if heartbeat.sequence <= self.sequence {
            return false;
        }
        self.sequence = heartbeat.sequence;
        self.note_clock(heartbeat.clock_ms, now);
        let mut described = heartbeat.description.clone();
        // An executor that drains doesn't change its mind within a life.
        described.draining |= self.description.draining;
        let changed = described != self.description;
        self.description = described;
        changed
    }

    /// The executor's clock at `now`, not ahead of it if it runs at most 2% slow.
    #[must_use]
    pub fn clock_ms(&self, now: Timestamp) -> u64 {
        let (clock_ms, at) = self.clock;
        let passed = now.since(at);
        let passed = passed - passed / 50;
        clock_ms + u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    }

    /// The end of a lease of `length` from `now` on the executor's clock.
    #[must_use]
    pub fn lease_end(&self, length: Duration, now: Timestamp) -> u64 {
        self.clock_ms(now) + u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
    }

    fn note_clock(&mut self, clock_ms: u64, now: Timestamp) {
        if clock_ms >= self.clock.0 {
            self.clock = (clock_ms, now);
        }
    }

    /// Notes that a start was confirmed.
    pub fn start_confirmed(&mut self, run: &RunId, clock_ms: u64, now: Timestamp) {
        self.note_clock(clock_ms, now);
        self.started.push((run.clone(), clock_ms));
    }

    /// Notes whether the executor answers; true if that has changed.
    pub fn set_responsive(&mut self, responsive: bool) -> bool {
        let changed = self.unresponsive == responsive;
        self.unresponsive = !responsive;
        changed
    }

    /// Takes the executor's lists, unless newer ones have been taken; true if a run has come or
    /// gone.
    pub fn lists(&mut self, lists: ExecutorLists, now: Timestamp) -> bool {
        if self
            .lists_clock_ms
            .is_some_and(|taken| lists.clock_ms < taken)
        {
            return false;
        }
        self.note_clock(lists.clock_ms, now);
        let first = self.lists_clock_ms.is_none();
        self.lists_clock_ms = Some(lists.clock_ms);
        self.started
            .retain(|(_, clock_ms)| *clock_ms >= lists.clock_ms);
        let runs = |running: &[RunningTask]| -> Vec<RunId> {
            running.iter().map(|running| running.run.clone()).collect()
        };
        let changed = runs(&self.running) != runs(&lists.running)
            || self.ended.len() != lists.ended.len()
            || self.ended.last() != lists.ended.last();
        self.running = lists.running;
        self.ended = lists.ended;
        changed || first
    }

    /// What the scheduler is told; `None` until the lists have been read once.
    #[must_use]
    pub fn report(&self) -> Option<TargetReport> {
        self.lists_clock_ms?;
        let mut running = self.running.clone();
        for (run, _) in &self.started {
            let listed = running.iter().any(|other| other.run == *run)
                || self.ended.iter().any(|other| other.run == *run);
            if !listed {
                running.push(RunningTask {
                    run: run.clone(),
                    checkpoint: None,
                    percent: 0,
                });
            }
        }
        let mut description = self.description.clone();
        description.draining |= self.unresponsive;
        Some(TargetReport {
            description,
            running,
            ended: self.ended.clone(),
        })
    }
}
