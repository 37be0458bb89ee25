//! Stored records are read back as they were written, and damaged ones are refused.

use std::time::Duration;

use rattanwinch_platform::records::JobPointer;
use rattanwinch_platform::records::StoredJob;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Adjacency;
use rattanwinch_types::Answer;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::GangShape;
use rattanwinch_types::JobRecord;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::PlacedTask;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

fn record(state: RecordedState) -> JobRecord {
    let key = RequestKey {
        organisation: Organisation::new("letrafa").expect("valid"),
        id: RequestId::new("ladder-7").expect("valid"),
    };
    let spec = JobSpec::builder()
        .key(key)
        .shape(GangShape::new(2, 4, Adjacency::Racks).expect("valid"))
        .idempotent(true)
        .deadline(Timestamp::from_millis(9_000))
        .declared_run_time(Duration::from_millis(1_500))
        .payload("rungs=\"12\"".into())
        .build();
    JobRecord {
        spec,
        zone: ZoneName::new("az-1").expect("valid"),
        attempt: 3,
        runs: 1,
        state,
        reason: Some("fits".into()),
    }
}

fn states() -> [RecordedState; 4] {
    let task = PlacedTask {
        target: TargetName::new("target-1").expect("valid"),
        accelerators: AcceleratorSet::block(4, 4),
    };
    let finished = |outcome| RecordedState::Finished {
        at: Timestamp::from_millis(8),
        outcome,
    };
    let error = RequestError::may_have_run(ErrorKind::Cancelled, "cancelled");
    [
        RecordedState::Queued,
        RecordedState::Committed {
            epoch: Epoch(7),
            since: Timestamp::from_millis(5),
            release_by: Timestamp::from_millis(3_005),
            tasks: vec![task.clone(), task],
        },
        finished(Ok(vec![Answer::new("a"), Answer::new("")])),
        finished(Err(error)),
    ]
}

/// Guards against fields that are lost on their way through the store.
#[test]
fn every_state_is_read_back_as_written() {
    for state in states() {
        let written = record(state);
        let read = StoredJob::decode(&StoredJob::encode(&written)).expect("readable");
        assert_eq!(read, written);
    }
}

/// Guards against answers of jobs that were changed or cut in the store.
#[test]
fn changed_values_are_refused() {
    let [_, _, finished, _] = states();
    let text = StoredJob::encode(&record(finished));
    let text = std::str::from_utf8(&text).expect("JSON");
    for (from, to) in [
        ("\"text\":\"a\"", "\"text\":\"b\""),
        ("rungs", "rings"),
        ("}", ""),
    ] {
        let changed = text.replacen(from, to, 1);
        assert_ne!(changed, text);
        assert!(StoredJob::decode(changed.as_bytes()).is_err(), "{changed}");
    }
}

/// Guards against a plain request's claim that is taken for a job's pointer.
#[test]
fn a_pointer_is_told_from_other_values() {
    let pointer = JobPointer {
        digest: record(RecordedState::Queued).spec.digest(),
        zone: ZoneName::new("az-1").expect("valid"),
    };
    assert_eq!(JobPointer::decode(&pointer.encode()), Ok(pointer));
    let claim = br#"{"digest":"00","target":"target-1"}"#;
    assert!(JobPointer::decode(claim).is_err());
}
