//! Tests of the messages against literals of the published gateway API, to find mistakes that the
//! client and the stand-in store share.

use rattanwinch_platform::wire::JsonInt;
use rattanwinch_platform::wire::WireCompare;
use rattanwinch_platform::wire::WireCompareTarget;
use rattanwinch_platform::wire::WireLeaseGrant;
use rattanwinch_platform::wire::WireLeaseKeepAliveResponse;
use rattanwinch_platform::wire::WirePut;
use rattanwinch_platform::wire::WireRange;
use rattanwinch_platform::wire::WireRangeResponse;
use rattanwinch_platform::wire::WireRequestOp;
use rattanwinch_platform::wire::WireResponseOp;
use rattanwinch_platform::wire::WireTxn;
use rattanwinch_platform::wire::WireTxnResponse;
use serde_json::json;

/// Guards against requests that only the stand-in store accepts.
#[test]
fn requests_have_the_published_form() {
    let put = WireRequestOp::Put(WirePut {
        key: b"foo"[..].into(),
        value: b"bar"[..].into(),
        lease: JsonInt(i64::MAX),
    });
    let nested = WireTxn {
        compare: vec![WireCompare {
            target: WireCompareTarget::Create,
            key: b"foo"[..].into(),
            create_revision: Some(JsonInt(0)),
            ..WireCompare::default()
        }],
        success: vec![put],
        failure: vec![WireRequestOp::Range(WireRange {
            key: b"foo"[..].into(),
            range_end: b"fop"[..].into(),
            limit: JsonInt(10),
            ..WireRange::default()
        })],
    };
    let txn = WireTxn {
        success: vec![WireRequestOp::Txn(nested)],
        ..WireTxn::default()
    };
    let expected = json!({"success": [{"requestTxn": {
        "compare": [{"result": "EQUAL", "target": "CREATE", "key": "Zm9v", "createRevision": "0"}],
        "success": [{"requestPut": {
            "key": "Zm9v", "value": "YmFy", "lease": "9223372036854775807"}}],
        "failure": [{"requestRange": {"key": "Zm9v", "range_end": "Zm9w", "limit": "10"}}],
    }}]});
    assert_eq!(serde_json::to_value(&txn).unwrap(), expected);
    assert_eq!(serde_json::from_value::<WireTxn>(expected).unwrap(), txn);
    let grant = WireLeaseGrant {
        ttl: JsonInt(10),
        ..WireLeaseGrant::default()
    };
    assert_eq!(serde_json::to_value(grant).unwrap(), json!({"TTL": "10"}));
}

/// Guards against responses that the client misreads: fields with default values are omitted, and
/// the cluster id exceeds a signed integer.
#[test]
fn responses_of_the_published_form_are_read() {
    let range: WireRangeResponse = serde_json::from_str(
        r#"{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255",
        "revision":"2","raft_term":"3"},"kvs":[{"key":"Zm9v","create_revision":"2",
        "mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}"#,
    )
    .unwrap();
    assert_eq!(range.header.cluster_id.0, 12_585_971_608_760_269_493);
    assert_eq!(&*range.kvs[0].value.0, b"bar");
    assert!(!range.more);
    let txn: WireTxnResponse = serde_json::from_str(
        r#"{"header":{"cluster_id":"1","revision":"3","raft_term":"2"},"succeeded":true,
        "responses":[{"response_put":{"header":{"revision":"3"}}}]}"#,
    )
    .unwrap();
    assert!(txn.succeeded);
    assert!(matches!(&txn.responses[0], WireResponseOp::Put(put) if put.header.revision.0 == 3));
    let conflict: WireTxnResponse = serde_json::from_str(
        r#"{"header":{"revision":"3"},"responses":[{"response_range":{"header":{}}}]}"#,
    )
    .unwrap();
    assert!(!conflict.succeeded);
    let lost: WireLeaseKeepAliveResponse =
        serde_json::from_str(r#"{"result":{"header":{"revision":"3"},"ID":"7"}}"#).unwrap();
    assert_eq!((lost.result.id.0, lost.result.ttl.0), (7, 0));
}
