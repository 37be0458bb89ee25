//! Tests of the encoding of stored records and of the rejection of corrupted ones.

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

/// Guards against fields that are lost when a record is encoded and decoded.
#[test]
fn every_state_survives_encoding_and_decoding() {
    for state in states() {
        let written = record(state);
        let read = StoredJob::decode(&StoredJob::encode(&written)).expect("readable");
        assert_eq!(read, written);
    }
}

/// Guards against accepting a job whose digest or answers were corrupted in the store.
#[test]
fn corrupted_records_are_rejected() {
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

/// Guards against decoding a plain request's claim as a job pointer.
#[test]
fn a_claim_is_not_decoded_as_a_job_pointer() {
    let pointer = JobPointer {
        digest: record(RecordedState::Queued).spec.digest(),
        zone: ZoneName::new("az-1").expect("valid"),
    };
    assert_eq!(JobPointer::decode(&pointer.encode()), Ok(pointer));
    let claim = br#"{"digest":"00","target":"target-1"}"#;
    assert!(JobPointer::decode(claim).is_err());
}
