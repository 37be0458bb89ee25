use std::cell::Cell;

thread_local! {
    static STEP_VISITS: Cell<u64> = const { Cell::new(0) };
}

/// Counts visits of steps, links between steps, tasks or runs.
pub(crate) fn count_step_visits(visits: usize) {
    let visits = u64::try_from(visits).unwrap_or(u64::MAX);
    STEP_VISITS.with(|count| count.set(count.get().saturating_add(visits)));
}

/// Returns how many steps, links between steps, tasks and runs the decisions of this thread have
/// visited.
///
/// The difference between two calls tells how the work of a decision grows with the size of a job,
/// on a machine of any speed.
#[must_use]
pub fn step_visits() -> u64 {
    STEP_VISITS.with(Cell::get)
}
