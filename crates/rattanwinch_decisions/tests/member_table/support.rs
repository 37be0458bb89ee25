use std::time::Duration;

use arbitrary::Result;
use arbitrary::Unstructured;
use rattanwinch_decisions::ObservedState;
use rattanwinch_decisions::ObservedTask;
use rattanwinch_standins::TaskError;
use rattanwinch_targets::TaskReport;
use rattanwinch_targets::TaskState;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;

pub fn member(id: &str, attempt: u32, index: u16) -> MemberKey {
    let key = RequestKey {
        organisation: Organisation::new("letrafa").expect("a valid name"),
        id: RequestId::new(id).expect("a valid name"),
    };
    let attempt = AttemptKey { key, attempt };
    MemberKey { attempt, index }
}

pub fn hold_order(member: &MemberKey, epoch: Epoch, accelerators: AcceleratorSet) -> HoldOrder {
    HoldOrder::builder()
        .member(member.clone())
        .epoch(epoch)
        .accelerators(accelerators)
        .gang_tasks(2)
        .payload("work".into())
        .hold_for(Duration::from_secs(5))
        .build()
}

pub fn response(deciding: Option<Epoch>) -> HeartbeatResponse {
    HeartbeatResponse::builder()
        .entries(Vec::new())
        .maybe_decider_epoch(deciding)
        .freshness(Duration::from_secs(2))
        .config_revision(Revision(1))
        .zone_closed(false)
        .plain_when_stale(Duration::ZERO)
        .stop(Default::default())
        .forget(Default::default())
        .duplicate(false)
        .build()
}

/// Takes any of the items; the order of the others may change.
pub fn take_any<T>(u: &mut Unstructured<'_>, items: &mut Vec<T>) -> Result<Option<T>> {
    if items.is_empty() {
        return Ok(None);
    }
    let index = u.int_in_range(0..=items.len() - 1)?;
    Ok(Some(items.swap_remove(index)))
}

pub fn refused((status, text): TaskError) -> RequestError {
    let kind = match status.as_u16() {
        404 => ErrorKind::NotFound,
        _ => ErrorKind::Conflict,
    };
    RequestError::not_run(kind, text)
}

pub fn observed(report: TaskReport) -> ObservedTask {
    let state = match report.state {
        TaskState::Loaded => ObservedState::Loaded,
        TaskState::Running => ObservedState::Running,
        TaskState::Succeeded => ObservedState::Succeeded,
        TaskState::Failed(text) => ObservedState::Failed(text),
        TaskState::Stopped => ObservedState::Stopped,
        TaskState::Expired => ObservedState::Expired,
    };
    ObservedTask {
        member: report.member,
        epoch: report.epoch,
        accelerators: report.accelerators,
        state,
    }
}
