//! Conversion between transactions and gateway messages.

use std::sync::Arc;

use rattanwinch_types::Revision;

use crate::Condition;
use crate::KeyValue;
use crate::LeaseId;
use crate::Retention;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::Write;
use crate::keys::Key;
use crate::wire::JsonBytes;
use crate::wire::JsonInt;
use crate::wire::WireCompare;
use crate::wire::WireCompareTarget;
use crate::wire::WireDeleteRange;
use crate::wire::WireKeyValue;
use crate::wire::WirePut;
use crate::wire::WireRange;
use crate::wire::WireRequestOp;
use crate::wire::WireResponseOp;
use crate::wire::WireTxn;
use crate::wire::WireTxnResponse;

rattanwinch_types::value! { copy
    /// The leases to which the writes of a group are attached.
    #[derive(Default)]
    pub(crate) struct GroupLeases {
        /// For [`Retention::ProcessLease`].
        pub process: Option<LeaseId>,
        /// For [`Retention::Day`].
        pub day: Option<LeaseId>,
    }
}

/// Encodes a group as one store transaction with a nested one for each member of the group.
pub(crate) fn encode_group<'a>(
    group: impl Iterator<Item = &'a Transaction>,
    leases: GroupLeases,
) -> WireTxn {
    WireTxn {
        success: group
            .map(|transaction| WireRequestOp::Txn(encode(transaction, leases)))
            .collect(),
        ..WireTxn::default()
    }
}

fn encode(transaction: &Transaction, leases: GroupLeases) -> WireTxn {
    WireTxn {
        compare: transaction.conditions.iter().map(compare).collect(),
        success: transaction
            .writes
            .iter()
            .map(|write| write_op(write, leases))
            .collect(),
        failure: transaction
            .conditions
            .iter()
            .map(|condition| WireRequestOp::Range(key_range(condition.key())))
            .collect(),
    }
}

fn compare(condition: &Condition) -> WireCompare {
    let compare = WireCompare {
        key: condition.key().into(),
        ..WireCompare::default()
    };
    match condition {
        Condition::Absent(_) => WireCompare {
            target: WireCompareTarget::Create,
            create_revision: Some(JsonInt(0)),
            ..compare
        },
        Condition::ModifiedAt(_, revision) => WireCompare {
            target: WireCompareTarget::Mod,
            mod_revision: Some(JsonInt(revision.0)),
            ..compare
        },
    }
}

fn write_op(write: &Write, leases: GroupLeases) -> WireRequestOp {
    match write {
        Write::Put {
            key,
            value,
            retention,
        } => {
            let lease = match retention {
                Retention::Permanent => None,
                Retention::ProcessLease => leases.process,
                Retention::Day => leases.day,
            };
            WireRequestOp::Put(WirePut {
                key: key.into(),
                value: JsonBytes(Arc::clone(value)),
                lease: JsonInt(lease.map_or(0, |lease| lease.0)),
            })
        }
        Write::Delete(key) => WireRequestOp::DeleteRange(WireDeleteRange {
            key: key.into(),
            range_end: JsonBytes::default(),
        }),
    }
}

/// Returns the range of a single key.
pub(crate) fn key_range(key: &Key) -> WireRange {
    WireRange {
        key: key.into(),
        ..WireRange::default()
    }
}

/// Returns the range of all keys with a prefix.
pub(crate) fn prefix_range(prefix: &Key) -> WireRange {
    WireRange {
        key: prefix.into(),
        range_end: prefix_end(prefix),
        ..WireRange::default()
    }
}

/// Returns the end (exclusive) of the range of keys with a prefix. Keys are UTF-8, so their last
/// byte is below 0xff and can be incremented.
pub(crate) fn prefix_end(prefix: &Key) -> JsonBytes {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    JsonBytes::from(&*end)
}

/// Decodes the outcomes of a group of `expected` transactions, in order.
pub(crate) fn decode_group(
    response: WireTxnResponse,
    expected: usize,
) -> Result<Vec<TransactionOutcome>, String> {
    let revision = Revision(response.header.revision.0);
    let found = response.responses.len();
    if found != expected {
        return Err(format!("{found} nested responses, expected {expected}"));
    }
    let nested = response.responses.into_iter();
    nested.map(|op| decode(op, revision)).collect()
}

fn decode(op: WireResponseOp, revision: Revision) -> Result<TransactionOutcome, String> {
    let WireResponseOp::Txn(response) = op else {
        return Err("nested response of another type, expected a transaction".to_owned());
    };
    if response.succeeded {
        return Ok(TransactionOutcome::Applied(revision));
    }
    let mut found: Vec<KeyValue> = Vec::new();
    for op in response.responses {
        for item in decode_range_op(op)? {
            // A key with two conditions occurs twice in the response.
            if !found.contains(&item) {
                found.push(item);
            }
        }
    }
    Ok(TransactionOutcome::Conflict(found))
}

/// Decodes the response to a range operation within a transaction.
pub(crate) fn decode_range_op(op: WireResponseOp) -> Result<Vec<KeyValue>, String> {
    match op {
        WireResponseOp::Range(range) => decode_items(range.kvs),
        _ => Err("response of another type, expected a range".to_owned()),
    }
}

/// Decodes key-value pairs.
pub(crate) fn decode_items(items: Vec<WireKeyValue>) -> Result<Vec<KeyValue>, String> {
    items.into_iter().map(KeyValue::try_from).collect()
}

impl TryFrom<WireKeyValue> for KeyValue {
    type Error = String;

    fn try_from(wire: WireKeyValue) -> Result<Self, String> {
        let key = std::str::from_utf8(&wire.key.0).map_err(|_| "key is not valid UTF-8")?;
        Ok(Self {
            key: Arc::from(key),
            value: wire.value.0,
            revision: Revision(wire.mod_revision.0),
        })
    }
}
