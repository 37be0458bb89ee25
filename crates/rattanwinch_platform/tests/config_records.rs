//! Tests of the stored forms of the configuration document and of change records.

use std::sync::Arc;

use rattanwinch_platform::records::ChangeRecord;
use rattanwinch_platform::records::ConfigDocument;
use rattanwinch_platform::records::MAX_RECENT_CHANGES;
use rattanwinch_types::ChangeId;
use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Guarantee;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use serde_json::Value;
use serde_json::json;

const NOW: Timestamp = Timestamp::from_millis(1_800_000_000_123);

fn record(number: i64) -> ChangeRecord {
    ChangeRecord {
        id: ChangeId::new(format!("c{number}")).expect("a valid id"),
        author: Arc::from("ada"),
        reason: Arc::from("power works, \"hall 2\""),
        at: NOW,
        based_on: Revision(number),
        change: json!({"kind": "add_zone", "zone": "a"}),
        effects: vec![Arc::from("Availability zone a is added and takes work.")],
    }
}

fn config() -> FleetConfig {
    let zone = ZoneName::new("a").expect("a valid name");
    let organisation = Organisation::new("letrafa").expect("a valid name");
    let effects = [
        ExceptionEffect::CloseZone(zone.clone()),
        ExceptionEffect::ExcludeTarget(TargetName::new("t1").expect("a valid name")),
        ExceptionEffect::LimitOrganisation {
            organisation: organisation.clone(),
            accelerators: 16,
        },
    ];
    let exceptions = effects.into_iter().enumerate();
    let exceptions = exceptions.map(|(number, effect)| Exception {
        id: ExceptionId::new(format!("x{number}")).expect("a valid id"),
        effect,
        reason: Arc::from("why"),
        author: Arc::from("ada"),
        at: NOW,
    });
    FleetConfig {
        zones: vec![zone.clone()],
        organisations: vec![OrganisationConfig {
            name: organisation.clone(),
            quota_accelerators: Some(64),
        }],
        guarantees: vec![Guarantee {
            organisation,
            zone,
            blocks: 2,
            accelerators: 16,
        }],
        exceptions: exceptions.collect(),
        ..FleetConfig::default()
    }
}

/// Guards against a field that is lost or changed when a document is encoded and decoded.
#[test]
fn a_document_survives_encoding_and_decoding() {
    let document = ConfigDocument::default().with_change(config(), record(0));
    assert_eq!(ConfigDocument::from_json(&document.to_json()), Ok(document));
    assert_eq!(ChangeRecord::from_json(&record(1).to_json()), Ok(record(1)));
}

/// Guards against a document that grows without bound with every change.
#[test]
fn only_the_most_recent_changes_are_kept() {
    let mut document = ConfigDocument::default();
    for number in 0..40 {
        document = document.with_change(config(), record(number));
    }
    let bases: Vec<_> = document.recent.iter().map(|one| one.based_on.0).collect();
    assert_eq!(bases.len(), MAX_RECENT_CHANGES);
    assert_eq!(bases.last(), Some(&39));
    assert!(bases.is_sorted());
}

/// Guards against older processes that reject a newer version's document, and against accepting an
/// invalid document.
#[test]
fn unknown_fields_are_ignored_and_invalid_ones_rejected() {
    let document = ConfigDocument::default().with_change(config(), record(0));
    let mut json: Value = serde_json::from_slice(&document.to_json()).expect("JSON");
    json["config"]["defaults"]["new_default"] = json!(1);
    let bytes = serde_json::to_vec(&json).expect("JSON");
    assert_eq!(ConfigDocument::from_json(&bytes), Ok(document));
    json["config"]["zones"] = json!(["a/b"]);
    let bytes = serde_json::to_vec(&json).expect("JSON");
    let error = ConfigDocument::from_json(&bytes).expect_err("a wrong name");
    assert!(error.to_string().contains("a/b"), "{error}");
    assert!(ConfigDocument::from_json(b"{}").is_err());
}
