use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_runtime::Clock;
use rattanwinch_types::Timestamp;
use tokio::sync::watch;

use super::CallClass;
use super::CallCounter;
use super::KvError;
use super::KvResult;
use super::KvState;
use super::StoreFaults;
use super::StoreMode;

/// The state that the routes and the control methods of the stand-in store share.
#[derive(Debug)]
pub(crate) struct SharedState {
    clock: Clock,
    state: Mutex<KvState>,
    snapshots: Mutex<Vec<KvState>>,
    counter: Mutex<CallCounter>,
    /// The injected faults.
    pub faults: watch::Sender<StoreFaults>,
    /// The revision of the latest change, for open watches.
    pub changed: watch::Sender<i64>,
}

impl SharedState {
    /// Creates the shared state around a key-value state.
    pub fn new(mut state: KvState, counter: CallCounter) -> Self {
        let clock = Clock::start();
        state.renew_all(clock.now());
        Self {
            clock,
            state: Mutex::new(state),
            snapshots: Mutex::new(Vec::new()),
            counter: Mutex::new(counter),
            faults: watch::Sender::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Admits a call: applies the injected faults, and counts it against the rate limit.
    pub async fn admit(&self, client: &str, kind: &str, class: CallClass) -> KvResult<()> {
        let mut faults = self.faults.subscribe();
        let mode = faults.borrow_and_update().mode_for(client);
        match mode {
            StoreMode::Up => {}
            StoreMode::Refuse => return Err(KvError::Unavailable),
            StoreMode::Hang => {
                let up = faults.wait_for(|faults| faults.mode_for(client) != StoreMode::Hang);
                drop(up.await);
                return Err(KvError::Unavailable);
            }
        }
        self.counter().count(kind, class, Instant::now())?;
        let delay_ms = faults.borrow().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        Ok(())
    }

    /// Whether the response to an applied write is to be lost; uses up one such fault.
    pub fn take_lost_response(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let loses = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            loses
        })
    }

    /// Runs an operation on the state after removing expired leases.
    pub fn with_state<T>(&self, operation: impl FnOnce(&mut KvState, Timestamp) -> T) -> T {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.expire(now);
        let result = operation(&mut state, now);
        self.changed.send_if_modified(|revision| {
            let changed = *revision != state.revision;
            *revision = state.revision;
            changed
        });
        result
    }

    /// Saves a snapshot of the current state and returns its number.
    pub fn snapshot(&self) -> usize {
        let state = self.with_state(|state, _| state.clone());
        let mut snapshots = lock(&self.snapshots);
        snapshots.push(state);
        snapshots.len() - 1
    }

    /// Restores a snapshot under a new cluster id; false if the snapshot does not exist.
    pub fn restore(&self, snapshot: usize) -> bool {
        let Some(mut older) = lock(&self.snapshots).get(snapshot).cloned() else {
            return false;
        };
        older.set_cluster_id(rand::random());
        self.with_state(|state, now| {
            older.renew_all(now);
            *state = older;
        });
        true
    }

    /// Locks the call counter.
    pub fn counter(&self) -> MutexGuard<'_, CallCounter> {
        lock(&self.counter)
    }
}

/// Locks a mutex and ignores poisoning, since operations under the locks do not panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
