//! Connections that fall silent for good without being closed, while new ones work.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::HttpAnswer;
use rattanwinch_demo::testing::Load;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Relay;
use rattanwinch_demo::testing::Relays;
use rattanwinch_demo::testing::Silence;
use rattanwinch_demo::testing::count_runs;
use rattanwinch_demo::testing::deadline_in;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::until;
use serde_json::json;
use tokio::task::JoinSet;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 8,
    entries: 2,
};

/// A silent connection is replaced within this time.
const REPLACED_BOUND: Duration = Duration::from_millis(1500);

/// The time in which requests and a gang start on an idle site.
const START_BOUND: Duration = Duration::from_secs(10);

/// The time that a gang of 4 s has to end.
const END_BOUND: Duration = Duration::from_secs(20);

/// Requests of each kind that run when the connections fall silent; with a slot for each.
const IN_FLIGHT: usize = 12;

/// Callers of short requests at each entry.
const CALLERS: usize = 4;

/// How long callers go on after the silence, well past the replacement.
const TRAFFIC: Duration = Duration::from_secs(4);

/// A site with work of every kind in flight.
struct BusySite {
    site: ProcessSite,
    loads: Vec<Load>,
    in_flight: JoinSet<(String, HttpAnswer)>,
}

impl BusySite {
    async fn start(name: &str, size: SiteSize) -> Self {
        let site = ProcessSite::start_relayed(name, size).await;
        let site = site.expect("site starts");
        let gang = gang_body("gang", 2, "work_ms=4000");
        let accepted = site.submit_job(0, &gang).await;
        assert_eq!(accepted.status, 202, "{accepted:?}");
        let mut in_flight = JoinSet::new();
        for number in 0..IN_FLIGHT {
            for (kind, idempotent) in [("check", true), ("order", false)] {
                let id = format!("{kind}-{number}");
                let mut body = plain_body(&id, "work_ms=3000", idempotent);
                body["deadline_unix_ms"] = json!(deadline_in(END_BOUND));
                let sent = post(site.url(number % size.entries, "/v1/requests"), body);
                in_flight.spawn(async { (id, sent.await) });
            }
        }
        let all_run = || {
            let ids = (0..IN_FLIGHT).flat_map(|n| [format!("check-{n}"), format!("order-{n}")]);
            let mut runs = ids.map(|id| count_runs(&site.executors, &format!("letrafa/{id}")));
            AttemptLog::read(&site.executors).starts("gang") == 2 && runs.all(|runs| runs > 0)
        };
        until(START_BOUND, "everything runs", all_run).await;
        let loads = (0..size.entries).map(|entry| {
            let url = site.url(entry, "/v1/requests");
            Load::plain(&url, &format!("load-{entry}"), CALLERS)
        });
        Self {
            loads: loads.collect(),
            site,
            in_flight,
        }
    }

    fn relays(&self) -> &Relays {
        self.site.relays.as_ref().expect("started with relays")
    }

    /// Waits until `count` connections more than `before` were opened through each relay.
    async fn replaced(what: &str, relays: &[Relay], before: &[usize], count: usize) {
        let since = Instant::now();
        let replaced = || {
            let opened = relays.iter().map(Relay::opened);
            opened
                .zip(before)
                .all(|(now, before)| now >= before + count)
        };
        until(REPLACED_BOUND, &format!("{what} replaced"), replaced).await;
        println!("{what}: replaced after {:?}", since.elapsed());
    }

    /// Waits for every answer and checks it.
    async fn check(mut self, case: &str) {
        while let Some(answered) = self.in_flight.join_next().await {
            let (id, answer) = answered.expect("the call doesn't panic");
            assert_eq!(answer.status, 200, "{case}: {id}: {answer:?}");
            let text = answer.body["answer"].as_str().unwrap_or_default();
            assert!(text.contains(&id), "{case}: {id}: {answer:?}");
        }
        for number in 0..IN_FLIGHT {
            let order = format!("letrafa/order-{number}");
            let runs = count_runs(&self.site.executors, &order);
            assert_eq!(runs, 1, "{case}: {order}");
        }
        let done = self.site.finished_job(0, "gang", END_BOUND).await;
        let answers = done["answers"].as_array().map(Vec::len);
        assert_eq!(answers, Some(2), "{case}: {done}");
        let log = AttemptLog::read(&self.site.executors);
        assert_eq!(log.starts("gang"), 2, "{case}: the gang ran again");
        for load in self.loads {
            let answers = load.stop().await;
            let failed = answers.iter().filter(|(_, answer)| answer.status != 200);
            let failed: Vec<_> = failed.take(3).collect();
            let count = answers.len();
            assert!(failed.is_empty(), "{case}: {failed:?} of {count}");
        }
        self.site.check_faults();
    }
}

fn opened(relays: &[Relay]) -> Vec<usize> {
    relays.iter().map(Relay::opened).collect()
}

/// Guards against requests that hang or fail with a silent WebSocket, and against orders that run
/// again instead of being found by their attempt.
#[tokio::test(flavor = "multi_thread")]
async fn silent_websockets_lose_no_answer() {
    let cases = [
        ("both ways", Silence::BOTH),
        ("requests", Silence::REQUESTS),
        ("answers", Silence::ANSWERS),
    ];
    for (number, (case, silence)) in cases.into_iter().enumerate() {
        let busy = BusySite::start(&format!("silent-agents-{number}"), SIZE).await;
        let agents = &busy.relays().agents;
        let before = opened(agents);
        agents.iter().for_each(|relay| relay.silence(silence));
        BusySite::replaced(case, agents, &before, SIZE.entries).await;
        tokio::time::sleep(TRAFFIC).await;
        busy.check(case).await;
    }
}

/// Guards against agents that count as silent, or refuse requests for want of an entry, while
/// their heartbeats wait on a silent connection.
#[tokio::test(flavor = "multi_thread")]
async fn silent_heartbeats_are_sent_over_new_connections() {
    // With one entry, only agents connect to it, so that the connections can be counted.
    let size = SiteSize { entries: 1, ..SIZE };
    let busy = BusySite::start("silent-heartbeats", size).await;
    let entries = &busy.relays().entries;
    let before = opened(entries);
    entries[0].silence(Silence::BOTH);
    BusySite::replaced("heartbeats", entries, &before, size.targets).await;
    tokio::time::sleep(TRAFFIC).await;
    busy.check("heartbeats").await;
}

/// Guards against an entry that can't claim or read anything after its connections to the store
/// fell silent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_store_connections_are_replaced() {
    let busy = BusySite::start("silent-stores", SIZE).await;
    let stores = &busy.relays().stores;
    let before = opened(stores);
    stores.iter().for_each(|relay| relay.silence(Silence::BOTH));
    BusySite::replaced("stores", stores, &before, 1).await;
    // Orders that are sent after the replacement are claimed over the new connections.
    for entry in 0..SIZE.entries {
        let order = plain_body(&format!("later-{entry}"), "work_ms=1", false);
        let answer = post(busy.site.url(entry, "/v1/requests"), order).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    busy.check("stores").await;
}

/// Guards against faults that only show when everything falls silent at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_site_whose_connections_all_fall_silent_goes_on() {
    let busy = BusySite::start("silent-all", SIZE).await;
    let before = opened(&busy.relays().agents);
    busy.relays().silence_all(Silence::BOTH);
    let agents = &busy.relays().agents;
    BusySite::replaced("all", agents, &before, SIZE.entries).await;
    tokio::time::sleep(TRAFFIC).await;
    busy.check("all").await;
}
