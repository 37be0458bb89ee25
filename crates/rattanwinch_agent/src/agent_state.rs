use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use metrics::counter;
use rattanwinch_decisions::AdmissionGate;
use rattanwinch_runtime::Clock;
use rattanwinch_types::Epoch;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::Incarnation;
use rattanwinch_types::Timestamp;
use slog::Logger;
use slog::error;
use tokio::sync::Semaphore;

use crate::AgentSettings;
use crate::attempt_table::AttemptTable;
use crate::members::Members;

/// What all parts of an agent share. Requests read immutable values and atomics only.
#[derive(Debug)]
pub(crate) struct AgentState<E> {
    /// The settings.
    pub settings: AgentSettings,
    /// This life of the agent.
    pub incarnation: Incarnation,
    /// The executor on the same VM.
    pub executor: E,
    /// What may start now.
    pub gate: ArcSwap<AdmissionGate>,
    /// The executor's slots for plain requests.
    pub slots: Arc<Semaphore>,
    /// Plain requests that run or wait.
    pub in_flight: AtomicU32,
    /// Attempts at non-idempotent requests.
    pub attempts: AttemptTable,
    /// Reaches the task that owns the members of gangs.
    pub members: Members,
    /// The highest epoch seen, as that task publishes it.
    pub epoch: AtomicI64,
    /// The time.
    pub clock: Clock,
    /// The log.
    pub logger: Logger,
}

impl<E> AgentState<E> {
    /// The state at start; `incarnation` must be new for each start.
    pub fn new(
        settings: AgentSettings,
        incarnation: Incarnation,
        executor: E,
        members: Members,
        logger: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            slots: Arc::new(Semaphore::new(usize::from(settings.slots))),
            settings,
            incarnation,
            executor,
            gate: ArcSwap::from_pointee(AdmissionGate::default()),
            in_flight: AtomicU32::new(0),
            attempts: AttemptTable::default(),
            members,
            epoch: AtomicI64::new(0),
            clock: Clock::start(),
            logger,
        })
    }

    /// The highest epoch seen.
    pub fn epoch(&self) -> Epoch {
        Epoch(self.epoch.load(Ordering::Acquire))
    }

    /// Takes in the response to a heartbeat that was sent at `sent_at`.
    pub fn apply_response(&self, sent_at: Timestamp, response: &HeartbeatResponse) {
        self.gate
            .rcu(|gate| gate.after_heartbeat(sent_at, response));
    }

    /// Counts a start at the executor that the gate forbids. The checks before it refuse such
    /// work, so that a violation means that a start got past them.
    pub fn assert_may_start(&self, gate: &AdmissionGate, fresh: bool, now: Timestamp) {
        let rules = [
            ("start_in_closed_zone", gate.zone_closed),
            ("start_under_expired_gate", fresh && now >= gate.fresh_until),
        ];
        for (rule, broken) in rules {
            if broken {
                counter!("invariant_violations_total", "rule" => rule).increment(1);
                error!(self.logger, "invariant violated"; "rule" => rule);
            }
            debug_assert!(!broken, "{rule}");
        }
    }

    /// Refuses new work from now on.
    pub fn set_leaving(&self) {
        self.gate.rcu(|gate| gate.with_leaving());
    }
}
