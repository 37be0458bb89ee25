use std::time::Duration;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::Epoch;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::Organisation;
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
        .maybe_deciding(deciding)
        .freshness(Duration::from_secs(2))
        .config_revision(Revision(1))
        .zone_closed(false)
        .plain_when_stale(Duration::ZERO)
        .stop(Default::default())
        .forget(Default::default())
        .duplicate(false)
        .build()
}
