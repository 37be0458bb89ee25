use std::time::Duration;

use rattanwinch_scheduling::ListExtent;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunLists;
use rattanwinch_scheduling::RunningTask;
use rattanwinch_scheduling::TargetDescription;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_site_executors::ExecutorHeartbeat;
use rattanwinch_site_executors::ExecutorLists;
use rattanwinch_types::Timestamp;

use crate::Grant;
use crate::LeaseGrants;

/// Two heartbeats whose sequence numbers differ by more than this are not of the same sequence: one
/// is from another writer.
const MAX_SEQUENCE_JUMP: u64 = 100_000;

/// The agent's view of one instance of its target.
///
/// The executor's answers may be received out of order, so lists are ordered by its own clock. A
/// run whose start was confirmed stays in the view until lists made after that have been read.
/// Times are those of the VM's steady clock.
#[derive(Clone, Debug)]
pub struct TargetView {
    description: TargetDescription,
    sequence: u64,
    /// The executor's clock in an answer, and when that answer was received.
    clock: (u64, Timestamp),
    /// The executor's clock in the last applied lists.
    lists_clock_ms: Option<u64>,
    lists: RunLists,
    /// Confirmed starts that the lists don't show yet, with the executor's clock in the
    /// confirmation.
    confirmed_starts: Vec<(RunId, u64)>,
    /// Highest sequence number of run ends that the scheduler has made durable.
    acknowledged: u64,
    /// The executor doesn't answer; it is reported as draining, so that it gets no new runs.
    unresponsive: bool,
    /// The earliest end of a draining executor, from its last heartbeat.
    leaves_at: Option<Timestamp>,
    grants: LeaseGrants,
}

impl TargetView {
    /// Creates the view from an instance's first heartbeat. An earlier agent may have granted it
    /// leases of up to `longest_lease`.
    #[must_use]
    pub fn new(heartbeat: &ExecutorHeartbeat, longest_lease: Duration, now: Timestamp) -> Self {
        Self {
            description: heartbeat.description.clone(),
            sequence: heartbeat.sequence,
            clock: (heartbeat.clock_ms, now),
            lists_clock_ms: None,
            lists: RunLists::empty(ListExtent::Partial),
            confirmed_starts: Vec::new(),
            acknowledged: 0,
            unresponsive: false,
            leaves_at: heartbeat.remaining.map(|time| now + time),
            grants: LeaseGrants::new(longest_lease, now),
        }
    }

    /// The executor as described by its last heartbeat.
    #[must_use]
    pub const fn description(&self) -> &TargetDescription {
        &self.description
    }

    /// Applies a heartbeat of the same instance; true if the description has changed.
    pub fn apply_heartbeat(&mut self, heartbeat: &ExecutorHeartbeat, now: Timestamp) -> bool {
        let is_earlier = heartbeat.sequence <= self.sequence;
        let is_odd = heartbeat.sequence.abs_diff(self.sequence) > MAX_SEQUENCE_JUMP;
        // An odd number is not followed. If the present one is odd, the others are followed again.
        if is_earlier != is_odd {
            return false;
        }
        self.sequence = heartbeat.sequence;
        self.update_clock(heartbeat.clock_ms, now);
        self.leaves_at = heartbeat.remaining.map(|time| now + time);
        let mut new_description = heartbeat.description.clone();
        // An instance never stops draining.
        new_description.draining |= self.description.draining;
        let changed = new_description != self.description;
        self.description = new_description;
        changed
    }

    /// Lower bound of the executor's clock at `now`, if it runs at most 2% slow.
    #[must_use]
    pub fn clock_ms(&self, now: Timestamp) -> u64 {
        let (clock_ms, at) = self.clock;
        let elapsed = now.since(at);
        let elapsed = elapsed - elapsed / 50;
        clock_ms.saturating_add(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Grants a lease of `length` from `now` with a request; returns its end on the executor's
    /// clock, and the grant, which is settled once the fate of the request is known.
    pub fn grant_lease(&mut self, length: Duration, now: Timestamp) -> (u64, Grant) {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let end_ms = self.clock_ms(now).saturating_add(length_ms);
        (end_ms, self.grants.begin(length, now))
    }

    /// Records whether the request with a lease may have been received.
    pub fn settle_lease(&mut self, grant: Grant, may_be_received: bool) {
        self.grants.settle(grant, may_be_received);
    }

    /// True if the executor has answered recently enough for a renewal of its lease.
    #[must_use]
    pub fn may_renew_lease(&self, now: Timestamp) -> bool {
        self.grants.may_renew(now)
    }

    /// True if none of the instance's runs can be at work: it doesn't answer, and all its leases
    /// have ended.
    #[must_use]
    pub fn has_lapsed(&self, now: Timestamp) -> bool {
        self.unresponsive && now > self.grants.end()
    }

    /// Time until all leases of the instance have ended, if none is granted any more.
    #[must_use]
    pub fn leases_end_in(&self, now: Timestamp) -> Duration {
        self.grants.end().since(now)
    }

    /// The instance of the executor.
    #[must_use]
    pub const fn instance(&self) -> &TargetInstance {
        &self.description.instance
    }

    fn update_clock(&mut self, clock_ms: u64, now: Timestamp) {
        if clock_ms >= self.clock.0 {
            self.clock = (clock_ms, now);
        }
    }

    /// True if this instance has answered a request for its lists. Until then, its heartbeats may be
    /// those of another writer.
    #[must_use]
    pub const fn has_answered(&self) -> bool {
        self.lists_clock_ms.is_some()
    }

    /// Records that the executor confirmed a start.
    pub fn record_start(&mut self, run: &RunId, clock_ms: u64, now: Timestamp) {
        self.grants.record_answer(now);
        self.update_clock(clock_ms, now);
        self.confirmed_starts.push((run.clone(), clock_ms));
    }

    /// Highest sequence number of run ends that the scheduler has made durable.
    #[must_use]
    pub const fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Records that the run ends up to `sequence` are durable; true if the executor can list ends
    /// that it has not listed yet.
    pub fn acknowledge(&mut self, sequence: u64) -> bool {
        let is_further = sequence > self.acknowledged;
        self.acknowledged = self.acknowledged.max(sequence);
        is_further && self.lists.extent == ListExtent::Partial
    }

    /// Sets whether the executor answers; true if that has changed.
    pub fn set_responsive(&mut self, responsive: bool) -> bool {
        let changed = self.unresponsive == responsive;
        self.unresponsive = !responsive;
        changed
    }

    /// Applies the executor's lists, unless newer ones have been applied; true if a run was added
    /// or removed.
    pub fn apply_lists(&mut self, lists: ExecutorLists, now: Timestamp) -> bool {
        self.grants.record_answer(now);
        if self
            .lists_clock_ms
            .is_some_and(|applied_ms| lists.clock_ms < applied_ms)
        {
            return false;
        }
        self.update_clock(lists.clock_ms, now);
        let is_first = self.lists_clock_ms.is_none();
        self.lists_clock_ms = Some(lists.clock_ms);
        self.confirmed_starts
            .retain(|(_, clock_ms)| *clock_ms >= lists.clock_ms);
        let runs = |running: &[RunningTask]| -> Vec<RunId> {
            running.iter().map(|running| running.run.clone()).collect()
        };
        let lists = lists.runs;
        let changed = runs(&self.lists.running) != runs(&lists.running)
            || self.lists.extent != lists.extent
            || self.lists.ended.len() != lists.ended.len()
            || self.lists.ended.last() != lists.ended.last();
        self.lists = lists;
        changed || is_first
    }

    /// The report for the scheduler; `None` until the lists have been read once.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> Option<TargetReport> {
        let lists_clock_ms = self.lists_clock_ms?;
        let mut lists = self.lists.clone();
        for (run, _) in &self.confirmed_starts {
            let is_listed = lists.running.iter().any(|other| other.run == *run)
                || lists.ended.iter().any(|other| other.run == *run);
            if !is_listed {
                lists.running.push(RunningTask {
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
            lists_clock_ms,
            lists,
            leases_end_in: None,
            leaves_in: self.leaves_at.map(|leaves_at| leaves_at.since(now)),
        })
    }
}
