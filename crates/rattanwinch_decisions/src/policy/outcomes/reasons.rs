//! Explanations of decisions, shown to users.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::GangShape;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestKey;

fn shape_text(shape: GangShape) -> String {
    let tasks = shape.tasks();
    let each = shape.accelerators_per_task();
    let adjacency = shape.adjacency().as_str();
    format!("{tasks} x {each} accelerators within one {adjacency}")
}

pub(crate) fn guaranteed_start(job: &JobSpec, waited: Duration) -> Arc<str> {
    let shape = shape_text(job.shape);
    let owner = &job.key.organisation;
    let waited = waited.as_secs();
    Arc::from(format!(
        "Started after {waited} s within the guarantee of {owner} ({shape}), on accelerators \
         that are free; it can't be evicted for others."
    ))
}

pub(crate) fn reclaimed_start(job: &JobSpec, waited: Duration) -> Arc<str> {
    let shape = shape_text(job.shape);
    let owner = &job.key.organisation;
    let waited = waited.as_secs();
    Arc::from(format!(
        "Started after {waited} s within the guarantee of {owner} ({shape}), on accelerators \
         that were reclaimed from borrowers; it can't be evicted for others."
    ))
}

pub(crate) fn borrowed_start(
    job: &JobSpec,
    waited: Duration,
    is_urgent: bool,
    limit: Duration,
) -> Arc<str> {
    let shape = shape_text(job.shape);
    let turn = if is_urgent {
        "the first urgent job in the queue"
    } else {
        "the next job in the queue that fits"
    };
    let (waited, limit) = (waited.as_secs(), limit.as_secs());
    Arc::from(format!(
        "Started after {waited} s as {turn} ({shape}), on borrowed accelerators; all unused \
         guarantees can still be reclaimed, by evicting it within {limit} s."
    ))
}

pub(crate) fn relocation_eviction(head: &RequestKey) -> Arc<str> {
    Arc::from(format!(
        "Evicted to be relocated: it fits on free accelerators elsewhere in the availability \
         zone, and {head} needs adjacent ones and has waited longer."
    ))
}

pub(crate) fn reclaim_eviction(
    owner: &Organisation,
    claimant: &RequestKey,
    lost_work: u64,
    limit: Duration,
) -> Arc<str> {
    let (minutes, limit) = (lost_work / 60_000, limit.as_secs());
    Arc::from(format!(
        "Evicted from borrowed accelerators, because {owner} reclaims its guarantee for \
         {claimant}; of the choices found it puts the least work at risk ({minutes} \
         accelerator-minutes in all). It is checkpointed first and stopped after {limit} s."
    ))
}

pub(crate) fn backfill_eviction(head: &RequestKey) -> Arc<str> {
    Arc::from(format!(
        "Evicted, because it was backfilled onto accelerators that are reserved for {head}, which \
         is first in the queue and now waits for nothing else."
    ))
}

pub(crate) fn closing_eviction(closure_reason: &str, is_guaranteed: bool) -> Arc<str> {
    let order = if is_guaranteed {
        "it is work within a guarantee, which is evicted after borrowed work"
    } else {
        "it is borrowed work, which is evicted before work within guarantees"
    };
    Arc::from(format!(
        "Evicted, because operators have closed the availability zone: {closure_reason}. Among work \
         of the same kind, the work with the least to lose is evicted first; {order}."
    ))
}

pub(crate) fn exclusion_eviction(target: &str, exclusion: &str) -> Arc<str> {
    Arc::from(format!(
        "Evicted, because operators have excluded worker {target}: {exclusion}."
    ))
}

pub(crate) fn stop(reason: &str, limit: Duration) -> Arc<str> {
    let limit = limit.as_secs();
    Arc::from(format!(
        "Stopped, because the checkpoint took longer than its limit of {limit} s. {reason}"
    ))
}
