//! Property test of the stand-in store's state against a simple model.

use std::collections::BTreeMap;
use std::time::Duration;

use arbitrary::Unstructured;
use rattanwinch_platform::wire::JsonBytes;
use rattanwinch_platform::wire::JsonInt;
use rattanwinch_platform::wire::WireCompare;
use rattanwinch_platform::wire::WireCompareTarget;
use rattanwinch_platform::wire::WireDeleteRange;
use rattanwinch_platform::wire::WireLeaseGrant;
use rattanwinch_platform::wire::WirePut;
use rattanwinch_platform::wire::WireRange;
use rattanwinch_platform::wire::WireRequestOp;
use rattanwinch_platform::wire::WireTxn;
use rattanwinch_standins::KvError;
use rattanwinch_standins::KvState;
use rattanwinch_testing::PropertyTest;
use rattanwinch_types::Timestamp;

#[derive(Clone, Debug, PartialEq)]
struct Item {
    value: u8,
    create: i64,
    modified: i64,
    version: i64,
    lease: i64,
}

/// The model: single bytes as keys and values, and leases by id with their time to live and expiry.
#[derive(Debug)]
struct Model {
    revision: i64,
    items: BTreeMap<u8, Item>,
    leases: BTreeMap<i64, (i64, u64)>,
    now: u64,
}

impl Model {
    fn put(&mut self, key: u8, value: u8, lease: i64, revision: i64) {
        let old = self.items.get(&key);
        let item = Item {
            value,
            create: old.map_or(revision, |old| old.create),
            modified: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease,
        };
        self.items.insert(key, item);
    }

    fn remove_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let before = self.items.len();
        self.items.retain(|_, item| item.lease != id);
        if self.items.len() < before {
            self.revision += 1;
        }
    }
}

/// Guards against a stand-in whose revisions, conditions or leases differ from the published
/// behaviour, which would invalidate every test that uses it.
#[test]
fn the_state_matches_the_model() {
    let run = PropertyTest::new("store state").with_seeds(200);
    run.run(|u| {
        let mut steps = 0;
        let mut state = KvState::new(1, 100);
        let mut model = Model {
            revision: 1,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            now: 0,
        };
        while !u.is_empty() {
            steps += 1;
            match u.int_in_range(0..=5)? {
                0..=2 => run_txn(u, &mut state, &mut model)?,
                3 => grant(u, &mut state, &mut model)?,
                4 => advance_time(u, &mut state, &mut model)?,
                _ => change_lease(u, &mut state, &mut model)?,
            }
            compare_all(&state, &model);
        }
        Ok(steps)
    });
}

/// Runs two nested transactions, the second of which may compare a key that the first writes.
fn run_txn(
    u: &mut Unstructured<'_>,
    state: &mut KvState,
    model: &mut Model,
) -> arbitrary::Result<()> {
    let mut nested = Vec::new();
    let mut chosen = Vec::new();
    let (mut changes, mut missing_lease) = (false, false);
    for half in 0..2 {
        let compared = u.int_in_range(0..=3)?;
        let expected = *u.choose(&[0, model.revision, model.revision - 1])?;
        let key = 2 * half + u.int_in_range(0..=1)?;
        let lease = *u.choose(&[0, 0, 1, 2])?;
        let (value, deletes) = (u.arbitrary()?, u.ratio(1, 4)?);
        let found = model.items.get(&compared).map_or(0, |item| item.modified);
        let holds = found == expected;
        missing_lease |= holds && !deletes && lease != 0 && !model.leases.contains_key(&lease);
        chosen.push((holds, key, value, lease, deletes));
        nested.push(WireRequestOp::Txn(WireTxn {
            compare: vec![WireCompare {
                target: WireCompareTarget::Mod,
                key: bytes(compared),
                mod_revision: Some(JsonInt(expected)),
                ..WireCompare::default()
            }],
            success: vec![write(key, value, lease, deletes)],
            failure: vec![WireRequestOp::Range(range(compared))],
        }));
    }
    let txn = WireTxn {
        success: nested,
        ..WireTxn::default()
    };
    let response = state.txn(&txn);
    if missing_lease {
        assert_eq!(response, Err(KvError::LeaseNotFound));
        return Ok(());
    }
    for (holds, key, value, lease, deletes) in chosen {
        if holds && deletes {
            changes |= model.items.remove(&key).is_some();
        } else if holds {
            changes = true;
            model.put(key, value, lease, model.revision + 1);
        }
    }
    model.revision += i64::from(changes);
    assert_eq!(
        response.map(|response| response.header.revision.0),
        Ok(model.revision)
    );
    Ok(())
}

fn grant(
    u: &mut Unstructured<'_>,
    state: &mut KvState,
    model: &mut Model,
) -> arbitrary::Result<()> {
    let (id, ttl) = (u.int_in_range(1..=2)?, u.int_in_range(0..=3)?);
    let request = WireLeaseGrant {
        ttl: JsonInt(ttl),
        id: JsonInt(id),
    };
    let granted = state.grant(&request, 99, Timestamp::from_millis(model.now));
    let expected = if ttl < 1 {
        Err(KvError::Invalid)
    } else if model.leases.contains_key(&id) {
        Err(KvError::LeaseExists)
    } else {
        model
            .leases
            .insert(id, (ttl, model.now + 1000 * ttl.unsigned_abs()));
        Ok(id)
    };
    assert_eq!(granted.map(|granted| granted.id.0), expected);
    Ok(())
}

fn advance_time(
    u: &mut Unstructured<'_>,
    state: &mut KvState,
    model: &mut Model,
) -> arbitrary::Result<()> {
    model.now += u.int_in_range(0..=1500)?;
    state.expire(Timestamp::ZERO + Duration::from_millis(model.now));
    let ended = model
        .leases
        .iter()
        .filter(|(_, (_, end))| *end <= model.now);
    let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
    for id in ended {
        model.remove_lease(id);
    }
    Ok(())
}

fn change_lease(
    u: &mut Unstructured<'_>,
    state: &mut KvState,
    model: &mut Model,
) -> arbitrary::Result<()> {
    let id = u.int_in_range(1..=2)?;
    let known = model.leases.get(&id).copied();
    if u.arbitrary()? {
        let status = state.keep_alive(id, Timestamp::from_millis(model.now));
        assert_eq!(status.ttl.0, known.map_or(0, |(ttl, _)| ttl));
        if let Some((ttl, _)) = known {
            model
                .leases
                .insert(id, (ttl, model.now + 1000 * ttl.unsigned_abs()));
        }
    } else {
        let revoked = state.revoke(id).map(drop);
        assert_eq!(revoked, known.map(drop).ok_or(KvError::LeaseNotFound));
        model.remove_lease(id);
    }
    Ok(())
}

fn compare_all(state: &KvState, model: &Model) {
    let all = WireRange {
        range_end: bytes(100),
        ..range(0)
    };
    let found = state.range(&all);
    assert_eq!(found.header.revision.0, model.revision);
    let found = found.kvs.into_iter().map(|kv| {
        let item = Item {
            value: kv.value.0[0],
            create: kv.create_revision.0,
            modified: kv.mod_revision.0,
            version: kv.version.0,
            lease: kv.lease.0,
        };
        (kv.key.0[0], item)
    });
    assert_eq!(found.collect::<BTreeMap<_, _>>(), model.items);
}

fn bytes(byte: u8) -> JsonBytes {
    JsonBytes::from(&[byte][..])
}

fn range(key: u8) -> WireRange {
    WireRange {
        key: bytes(key),
        ..WireRange::default()
    }
}

fn write(key: u8, value: u8, lease: i64, deletes: bool) -> WireRequestOp {
    if deletes {
        return WireRequestOp::DeleteRange(WireDeleteRange {
            key: bytes(key),
            range_end: JsonBytes::default(),
        });
    }
    WireRequestOp::Put(WirePut {
        key: bytes(key),
        value: bytes(value),
        lease: JsonInt(lease),
    })
}

/// Guards against a stand-in that accepts transactions that the real store rejects (a key written
/// twice, too many operations, a too large value), which would hide client faults.
#[test]
fn transactions_that_etcd_rejects_are_rejected() {
    let mut state = KvState::new(1, 100);
    let nested = |key| {
        WireRequestOp::Txn(WireTxn {
            success: vec![write(key, 1, 0, false)],
            ..WireTxn::default()
        })
    };
    let large = WireRequestOp::Put(WirePut {
        key: bytes(1),
        value: JsonBytes::from(&[0; 101][..]),
        lease: JsonInt(0),
    });
    let cases = [
        (vec![nested(1), nested(1)], KvError::DuplicateKey),
        (vec![nested(1), write(1, 0, 0, true)], KvError::DuplicateKey),
        ((0..=128).map(nested).collect(), KvError::TooManyOps),
        (vec![nested(2), large], KvError::TooLarge),
    ];
    for (success, expected) in cases {
        let txn = WireTxn {
            success,
            ..WireTxn::default()
        };
        assert_eq!(state.txn(&txn), Err(expected));
    }
    assert_eq!(state.header().revision.0, 1);
    assert!(
        state
            .txn(&WireTxn {
                success: vec![nested(1), nested(2)],
                ..WireTxn::default()
            })
            .is_ok()
    );
}
