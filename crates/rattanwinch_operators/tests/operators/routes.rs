//! The endpoints for operators over real HTTP.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use poem::Route;
use poem::Server;
use poem::listener::Acceptor as _;
use poem::listener::Listener as _;
use poem::listener::TcpListener;
use rattanwinch_decisions::BurnReport;
use rattanwinch_decisions::BurnWindows;
use rattanwinch_operators::BurnCounters;
use rattanwinch_operators::ConfigChanges;
use rattanwinch_operators::FleetReporter;
use rattanwinch_operators::GuaranteeReport;
use rattanwinch_operators::OperatorsApi;
use rattanwinch_operators::Result;
use rattanwinch_operators::TargetReport;
use rattanwinch_operators::ZoneReport;
use rattanwinch_operators::operator_routes;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::Organisation;
use rattanwinch_types::RackName;
use rattanwinch_types::RequestError;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use serde_json::Value;
use serde_json::json;

use crate::memory_store::Fault;
use crate::memory_store::MemoryStore;

const NOW: Timestamp = Timestamp::from_millis(1_800_000_000_000);

/// A fleet of one target in one closed zone; its guarantee report fails.
struct SmallFleet;

fn zone() -> ZoneName {
    ZoneName::new("a").expect("a valid name")
}

impl FleetReporter for SmallFleet {
    async fn targets(&self) -> Result<Vec<TargetReport>> {
        Ok(vec![
            TargetReport::builder()
                .target(TargetName::new("t1").expect("a valid name"))
                .zone(zone())
                .rack(RackName::new("r1").expect("a valid name"))
                .in_flight(3)
                .slots(8)
                .accelerators_used(4)
                .accelerators(8)
                .leaving(true)
                .last_heard(Duration::from_millis(250))
                .build(),
        ])
    }

    async fn zones(&self) -> Result<Vec<ZoneReport>> {
        let closing = Exception {
            id: ExceptionId::new("x1").expect("a valid id"),
            effect: ExceptionEffect::CloseZone(zone()),
            reason: Arc::from("power works"),
            author: Arc::from("ada"),
            at: NOW,
        };
        Ok(vec![
            ZoneReport::builder()
                .zone(zone())
                .closed_by(closing)
                .epoch(Epoch(9))
                .targets(1)
                .running_tasks(4)
                .in_flight(3)
                .waiting_jobs(0)
                .build(),
        ])
    }

    async fn guarantees(&self) -> Result<Vec<GuaranteeReport>> {
        let message = "no decider of availability zone a is known";
        Err(RequestError::not_run(ErrorKind::Unavailable, message))
    }

    async fn burn(&self) -> Result<BurnReport> {
        let counters = BurnCounters::new();
        let organisation = Organisation::new("letrafa").expect("a valid name");
        for number in 0..100 {
            counters.record(&organisation, number >= 2);
        }
        let mut windows = BurnWindows::new();
        counters.drain_into(&mut windows, NOW);
        counters.drain_into(&mut windows, NOW);
        Ok(windows.report(999_000, NOW))
    }
}

/// A running HTTP server, and the revisions that its callback received.
struct TestServer {
    url: String,
    accepted: Arc<Mutex<Vec<i64>>>,
}

impl TestServer {
    async fn start(store: MemoryStore) -> Self {
        let accepted = Arc::new(Mutex::new(Vec::new()));
        let revisions = Arc::clone(&accepted);
        let changes = ConfigChanges::new(Arc::new(store));
        let api = OperatorsApi::new(changes, Arc::new(SmallFleet), Arc::new(|| NOW))
            .with_on_accepted(Arc::new(move |change| {
                let mut revisions = revisions.lock().expect("no holder panics");
                revisions.push(change.revision.0);
            }));
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await;
        let acceptor = acceptor.expect("a free port");
        let address = acceptor.local_addr()[0].as_socket_addr().copied();
        let url = format!("http://{}/v1", address.expect("a TCP address"));
        let app = Route::new().nest("/v1", operator_routes(&Arc::new(api)));
        tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
        Self { url, accepted }
    }

    async fn get(&self, path: &str) -> (u16, Value) {
        let response = reqwest::get(format!("{}{path}", self.url)).await;
        let response = response.expect("the server answers");
        let status = response.status().as_u16();
        (status, response.json().await.expect("the body is JSON"))
    }

    async fn post(&self, body: &Value) -> (u16, Value) {
        let client = reqwest::Client::new().post(format!("{}/config/changes", self.url));
        let response = client.json(body).send().await.expect("the server answers");
        let status = response.status().as_u16();
        (status, response.json().await.expect("the body is JSON"))
    }
}

fn add_zone(id: &str, zone: &str, based_on: i64) -> Value {
    json!({"id": id, "author": "ada", "reason": "new site", "based_on": based_on,
        "change": {"kind": "add_zone", "zone": zone}})
}

/// The body of `add_zone` with one field replaced, or removed if `value` is null.
fn with_field(field: &str, value: Value) -> Value {
    let mut body = add_zone("c1", "a", 0);
    let fields = body.as_object_mut().expect("an object");
    if value.is_null() {
        fields.remove(field);
    } else {
        fields.insert(field.to_owned(), value);
    }
    body
}

/// Guards against invalid input that changes the configuration, or that is refused without its
/// verdict.
#[tokio::test]
async fn bad_changes_are_refused_as_not_run() {
    let server = TestServer::start(MemoryStore::default()).await;
    let bodies = [
        with_field("reason", Value::Null),
        with_field("reason", json!(" ")),
        with_field("author", json!("")),
        with_field("id", json!("a/b")),
        with_field("based_on", Value::Null),
        with_field("based_on", json!(-1)),
        with_field("colour", json!("red")),
        with_field("reason", json!("x".repeat(20_000))),
        with_field("change", json!({"kind": "add_zone", "zone": "a", "x": 1})),
        with_field("change", json!({"kind": "add_zone"})),
        with_field("change", json!({"kind": "paint"})),
        with_field("change", json!({"kind": "remove_zone", "zone": "a"})),
        with_field(
            "change",
            json!({"kind": "set_default", "key": "x", "value": 1}),
        ),
        with_field(
            "change",
            json!({"kind": "set_default", "key": "max_attempts", "value": -1}),
        ),
        with_field(
            "change",
            json!({"kind": "add_exception", "id": "x",
            "effect": {"close_zone": {"zone": "a", "x": 1}}}),
        ),
    ];
    for body in bodies {
        let (status, answer) = server.post(&body).await;
        assert!((400..=422).contains(&status), "{status} {body}");
        assert_eq!(answer["error"]["verdict"], "not_run", "{answer}");
    }
    let (_, config) = server.get("/config").await;
    assert_eq!(config["revision"], 0);
    for path in [
        "/config/changes?limit=x",
        "/config/changes?x=1",
        "/burn?format=pdf",
    ] {
        let (status, answer) = server.get(path).await;
        assert_eq!(
            (status, &answer["error"]["verdict"]),
            (400, &json!("not_run")),
            "{path}"
        );
    }
}

/// Guards against a dry run that writes, an accepted change that the callback does not receive, and
/// a conflict without the newer revision.
#[tokio::test]
async fn changes_are_accepted_repeated_and_refused_when_stale() {
    let server = TestServer::start(MemoryStore::default()).await;
    let (status, answer) = server.post(&with_field("dry_run", json!(true))).await;
    assert_eq!((status, &answer["accepted"]), (200, &json!(false)));
    assert_eq!(answer["effects"].as_array().map(Vec::len), Some(1));

    let (status, answer) = server.post(&add_zone("c1", "a", 0)).await;
    assert_eq!(
        (status, &answer["accepted"], &answer["revision"]),
        (200, &json!(true), &json!(1))
    );
    let (_, again) = server.post(&add_zone("c1", "a", 0)).await;
    assert_eq!(
        (&again["repeated"], &again["revision"]),
        (&json!(true), &json!(1))
    );
    assert_eq!(*server.accepted.lock().expect("no holder panics"), [1, 1]);

    for stale in [add_zone("c2", "b", 0), add_zone("c2", "b", 7)] {
        let (status, answer) = server.post(&stale).await;
        assert_eq!((status, &answer["revision"]), (409, &json!(1)));
        assert_eq!(answer["error"]["verdict"], "not_run");
        assert_eq!(answer["config"]["zones"], json!(["a"]));
        assert_eq!(answer["complete"], stale["based_on"] == 0);
    }
    let (status, answer) = server.post(&add_zone("c1", "b", 1)).await;
    assert_eq!(
        (status, &answer["error"]["kind"]),
        (409, &json!("conflict"))
    );

    server.post(&add_zone("c2", "b", 1)).await;
    let (_, page) = server.get("/config/changes?limit=1").await;
    assert_eq!(
        (&page["changes"][0]["id"], &page["next_after"]),
        (&json!("c1"), &json!("c1"))
    );
    let (_, page) = server.get("/config/changes?limit=1&after=c1").await;
    assert_eq!(page["changes"][0]["revision"], 2);
    assert_eq!(page["next_after"], Value::Null);
}

/// Guards against the verdict "not run" for a change that may still be applied.
#[tokio::test]
async fn a_lost_response_is_resolved_or_reported_as_may_have_run() {
    // The two reads before the transaction succeed.
    let applied = [Fault::None, Fault::None, Fault::LostAnswer];
    let server = TestServer::start(MemoryStore::default().with_faults(applied)).await;
    let (status, answer) = server.post(&add_zone("c1", "a", 0)).await;
    assert_eq!((status, &answer["accepted"]), (200, &json!(true)));

    let delayed = [Fault::None, Fault::None, Fault::Delayed(4)];
    let server = TestServer::start(MemoryStore::default().with_faults(delayed)).await;
    let (status, answer) = server.post(&add_zone("c1", "a", 0)).await;
    assert_eq!(
        (status, &answer["error"]["verdict"]),
        (503, &json!("may_have_run"))
    );
}

/// Guards against reports with swapped fields, and a failed report without its verdict.
#[tokio::test]
async fn reports_show_what_the_entry_knows() {
    let server = TestServer::start(MemoryStore::default()).await;
    let (_, fleet) = server.get("/fleet").await;
    assert_eq!(
        fleet,
        json!([{"target": "t1", "zone": "a", "rack": "r1", "in_flight": 3,
        "slots": 8, "accelerators_used": 4, "accelerators": 8, "leaving": true,
        "last_heard_ms": 250}])
    );
    let (_, zones) = server.get("/zones").await;
    assert_eq!(zones[0]["closed_by"]["reason"], "power works");
    assert_eq!(
        (&zones[0]["open"], &zones[0]["drained"]),
        (&json!(false), &json!(false))
    );
    let (status, guarantees) = server.get("/guarantees").await;
    assert_eq!(
        (status, &guarantees["error"]["verdict"]),
        (503, &json!("not_run"))
    );
    let (_, burn) = server.get("/burn").await;
    let hour = &burn["organisations"][0]["windows"][2];
    let expected = json!({"window": "1h", "good": 98, "bad": 2, "burn_permille": 20_000});
    assert_eq!(*hour, expected);
    assert_eq!(
        burn["organisations"][0]["alerts"],
        json!(["fast", "slow", "ticket"])
    );
    let table = reqwest::get(format!("{}/burn?format=text", server.url)).await;
    let table = table
        .expect("the server answers")
        .text()
        .await
        .expect("text");
    assert!(table.contains("20.00 (2/100)"), "{table}");
}
