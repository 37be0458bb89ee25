//! Tests of the stand-in store's HTTP API, without the client of the platform package.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreCounts;
use rattanwinch_standins::StoreFaults;
use rattanwinch_standins::StoreLimits;
use reqwest::Client;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;

/// The time-out of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

struct Fixture {
    store: StandinStore,
    client: Client,
}

impl Fixture {
    async fn start(limits: StoreLimits) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let client = Client::builder().no_proxy().timeout(STEP_TIMEOUT).build();
        Self {
            store: StandinStore::start(any, limits).await.unwrap(),
            client: client.unwrap(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.store.address())
    }

    async fn post(&self, path: &str, body: &Value) -> Response {
        let req = self.client.post(self.url(path)).json(body);
        req.send().await.unwrap()
    }

    async fn put(&self, key: &str, value: &str) {
        let response = self
            .post("/v3/kv/put", &json!({"key": key, "value": value}))
            .await;
        assert!(response.status().is_success());
    }

    async fn counts(&self) -> StoreCounts {
        let req = self.client.get(self.url("/admin/counts"));
        req.send().await.unwrap().json().await.unwrap()
    }
}

/// Reads the lines of a watch response; a chunk can contain several lines or part of one.
struct WatchStream {
    response: Response,
    buffer: Vec<u8>,
}

impl WatchStream {
    /// Returns the next message, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(serde_json::from_slice(&line).unwrap());
            }
            let chunk = tokio::time::timeout(STEP_TIMEOUT, self.response.chunk()).await;
            self.buffer
                .extend(chunk.expect("a message within the time-out").unwrap()?);
        }
    }

    /// Returns the `result` of the next message.
    async fn result(&mut self) -> Value {
        self.next().await.expect("the watch is open")["result"].take()
    }
}

/// Guards against watches that miss changes, and against watches missing from the counts.
#[tokio::test(flavor = "multi_thread")]
async fn a_watch_streams_changes_as_lines() {
    let fixture = Fixture::start(StoreLimits::default()).await;
    fixture.put("Zm9v", "MQ==").await;
    let watch_request = json!({"create_request":
        {"key": "Zm9v", "range_end": "Zm9w", "start_revision": "2"}});
    let mut watch = WatchStream {
        response: fixture.post("/v3/watch", &watch_request).await,
        buffer: Vec::new(),
    };
    let created = watch.result().await;
    assert_eq!(created["created"], true);
    let past = watch.result().await;
    assert_eq!(past["events"][0]["kv"]["value"], "MQ==");
    assert_eq!(fixture.counts().await.waiting_watches, 1);
    fixture.put("b3RoZXI=", "MQ==").await;
    fixture.put("Zm9v", "Mg==").await;
    let change = watch.result().await;
    assert_eq!(change["events"][0]["kv"]["mod_revision"], "4");
    let delete = json!({"success": [{"requestDeleteRange": {"key": "Zm9v"}}]});
    fixture.post("/v3/kv/txn", &delete).await;
    let deleted = watch.result().await;
    assert_eq!(deleted["events"][0]["type"], "DELETE");
    let snapshot = fixture.store.snapshot();
    assert!(fixture.store.restore(snapshot));
    // A watch must not continue with the changes of another cluster.
    fixture.put("Zm9v", "Mw==").await;
    assert_eq!(watch.result().await["canceled"], true);
    assert_eq!(watch.next().await, None);
}

/// Guards against benchmarks that pass because the stand-in does not enforce its limits.
#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_the_rate_limits_are_rejected() {
    let limits = StoreLimits::builder()
        .writes_per_second(2)
        .reads_per_second(3)
        .max_value_bytes(10)
        .build();
    let fixture = Fixture::start(limits).await;
    let watch = json!({"create_request": {"key": "Zm9v"}});
    let _watch = fixture.post("/v3/watch", &watch).await;
    let range = json!({"key": "Zm9v"});
    let put = json!({"key": "Zm9v", "value": "MQ=="});
    // The watch counts as one read when it is opened, and as another while it is open.
    let calls = [("/v3/kv/range", &range, 1), ("/v3/kv/put", &put, 2)];
    for (path, body, allowed) in calls {
        for _ in 0..allowed {
            assert_eq!(fixture.post(path, body).await.status(), 200, "{path}");
        }
        let rejected = fixture.post(path, body).await;
        assert_eq!(rejected.status(), 429, "{path}");
        assert_eq!(rejected.json::<Value>().await.unwrap()["code"], 8);
    }
    let counts = fixture.counts().await;
    assert_eq!(
        (counts.refused_by_rate, counts.most_writes_per_second),
        (2, 3)
    );
    assert_eq!(
        (
            counts.calls_of("range"),
            counts.calls_of("put"),
            counts.calls_of("watch")
        ),
        (2, 3, 1)
    );
}

/// Guards against a stand-in process that cannot be controlled over HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn the_admin_paths_control_the_stand_in() {
    let fixture = Fixture::start(StoreLimits::default()).await;
    let faults = json!({"mode": "refuse", "cut_off": ["entry-a"], "lose_answers": 2});
    let set = fixture
        .client
        .put(fixture.url("/admin/faults"))
        .json(&faults);
    assert!(set.send().await.unwrap().status().is_success());
    assert_eq!(fixture.store.faults().lose_answers, 2);
    let rejected = fixture.post("/v3/kv/range", &json!({"key": "Zm9v"})).await;
    assert_eq!(rejected.status(), 503);
    fixture.store.set_faults(StoreFaults::default());
    let snapshot: Value = fixture
        .post("/admin/snapshot", &json!({}))
        .await
        .json()
        .await
        .unwrap();
    fixture.put("Zm9v", "MQ==").await;
    assert!(
        fixture
            .post("/admin/restore", &snapshot)
            .await
            .status()
            .is_success()
    );
    let missing = json!({"snapshot": 7});
    assert_eq!(fixture.post("/admin/restore", &missing).await.status(), 404);
    let range = fixture.post("/v3/kv/range", &json!({"key": "Zm9v"})).await;
    let range: Value = range.json().await.unwrap();
    assert_eq!(
        (&range["count"], &range["header"]["revision"]),
        (&Value::Null, &json!("1"))
    );
    let reset = fixture.client.delete(fixture.url("/admin/counts")).send();
    assert!(reset.await.unwrap().status().is_success());
    assert_eq!(fixture.counts().await.calls_of("put"), 0);
}
