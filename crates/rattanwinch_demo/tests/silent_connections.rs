//! Tests of blackholed connections, which drop all data without being closed, while new connections
//! work.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::Blackhole;
use rattanwinch_demo::testing::FaultProxies;
use rattanwinch_demo::testing::FaultProxy;
use rattanwinch_demo::testing::HttpAnswer;
use rattanwinch_demo::testing::LoadGenerator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::count_runs;
use rattanwinch_demo::testing::deadline_unix_ms;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::wait_until;
use serde_json::json;
use tokio::task::JoinSet;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 8,
    entries: 2,
};

/// The time limit for replacing a blackholed connection that carries calls.
const REPLACED_BOUND: Duration = Duration::from_millis(1500);

/// The time limit for replacing a blackholed connection that carries no call.
const IDLE_REPLACED_BOUND: Duration = Duration::from_secs(5);

/// The time limit for requests and a gang to start on an idle site.
const START_BOUND: Duration = Duration::from_secs(10);

/// The time limit for a gang with 4 s of work to finish.
const END_BOUND: Duration = Duration::from_secs(20);

/// The number of requests of each kind that run when the connections are blackholed; there is a
/// slot for each.
const IN_FLIGHT_PER_KIND: usize = 12;

/// The number of callers that send short requests to each entry.
const CALLERS: usize = 4;

/// How long the load continues after the connections were replaced.
const LOAD_DURATION: Duration = Duration::from_secs(4);

/// A site with all kinds of work in flight.
struct BusySite {
    site: ProcessSite,
    loads: Vec<LoadGenerator>,
    in_flight: JoinSet<(String, HttpAnswer)>,
}

impl BusySite {
    async fn start(name: &str, size: SiteSize) -> Self {
        let site = ProcessSite::start_with_proxies(name, size).await;
        let site = site.expect("site starts");
        let gang = gang_body("gang", 2, "work_ms=4000");
        let accepted = site.submit_job(0, &gang).await;
        assert_eq!(accepted.status, 202, "{accepted:?}");
        let mut in_flight = JoinSet::new();
        for number in 0..IN_FLIGHT_PER_KIND {
            for (kind, idempotent) in [("check", true), ("order", false)] {
                let id = format!("{kind}-{number}");
                let mut body = plain_body(&id, "work_ms=3000", idempotent);
                body["deadline_unix_ms"] = json!(deadline_unix_ms(END_BOUND));
                let sent = post(site.url(number % size.entries, "/v1/requests"), body);
                in_flight.spawn(async { (id, sent.await) });
            }
        }
        let all_run = || {
            let ids =
                (0..IN_FLIGHT_PER_KIND).flat_map(|n| [format!("check-{n}"), format!("order-{n}")]);
            let mut runs = ids.map(|id| count_runs(&site.executors, &format!("letrafa/{id}")));
            AttemptLog::read(&site.executors).start_count("gang") == 2 && runs.all(|runs| runs > 0)
        };
        wait_until(START_BOUND, "all work runs", all_run).await;
        let loads = (0..size.entries).map(|entry| {
            let url = site.url(entry, "/v1/requests");
            LoadGenerator::plain(&url, &format!("load-{entry}"), CALLERS)
        });
        Self {
            loads: loads.collect(),
            site,
            in_flight,
        }
    }

    fn proxies(&self) -> &FaultProxies {
        self.site.proxies.as_ref().expect("started with relays")
    }

    /// Waits until `count` connections more than `before` were opened through each proxy.
    async fn wait_until_replaced(
        what: &str,
        proxies: &[FaultProxy],
        before: &[usize],
        count: usize,
    ) {
        let since = Instant::now();
        let wait_until_replaced = || {
            let opened_connections = proxies.iter().map(FaultProxy::opened_connections);
            opened_connections
                .zip(before)
                .all(|(now, before)| now >= before + count)
        };
        wait_until(
            REPLACED_BOUND,
            &format!("{what} replaced"),
            wait_until_replaced,
        )
        .await;
        println!("{what}: replaced after {:?}", since.elapsed());
    }

    /// Waits until the connections of all entries to all agents were replaced.
    async fn wait_until_agents_replaced(what: &str, agents: &[FaultProxy], before: &[usize]) {
        let since = Instant::now();
        // Requests stay in the zone of their entry, so each agent has calls from one entry.
        Self::wait_until_replaced(what, agents, before, 1).await;
        let all_replaced = || {
            let mut opened = agents.iter().zip(before);
            opened.all(|(proxy, before)| proxy.opened_connections() >= before + SIZE.entries)
        };
        let left = IDLE_REPLACED_BOUND.saturating_sub(since.elapsed());
        wait_until(
            left,
            &format!("{what}: idle connections replaced"),
            all_replaced,
        )
        .await;
    }

    /// Waits for every answer and checks it.
    async fn check(mut self, case: &str) {
        while let Some(answered) = self.in_flight.join_next().await {
            let (id, answer) = answered.expect("the call doesn't panic");
            assert_eq!(answer.status, 200, "{case}: {id}: {answer:?}");
            let text = answer.body["answer"].as_str().unwrap_or_default();
            assert!(text.contains(&id), "{case}: {id}: {answer:?}");
        }
        for number in 0..IN_FLIGHT_PER_KIND {
            let order = format!("letrafa/order-{number}");
            let runs = count_runs(&self.site.executors, &order);
            assert_eq!(runs, 1, "{case}: {order}");
        }
        let done = self.site.wait_for_job(0, "gang", END_BOUND).await;
        let answers = done["answers"].as_array().map(Vec::len);
        assert_eq!(answers, Some(2), "{case}: {done}");
        let log = AttemptLog::read(&self.site.executors);
        assert_eq!(log.start_count("gang"), 2, "{case}: the gang ran again");
        for load in self.loads {
            let answers = load.stop().await;
            let failed = answers.iter().filter(|(_, answer)| answer.status != 200);
            let failed: Vec<_> = failed.take(3).collect();
            let count = answers.len();
            assert!(failed.is_empty(), "{case}: {failed:?} of {count}");
        }
        self.site.assert_no_faults();
    }
}

fn opened_connections(proxies: &[FaultProxy]) -> Vec<usize> {
    proxies.iter().map(FaultProxy::opened_connections).collect()
}

/// Guards against requests that hang or fail on a blackholed WebSocket, and against non-idempotent
/// requests that run again instead of being found by their attempt.
#[tokio::test(flavor = "multi_thread")]
async fn blackholed_websockets_lose_no_answer() {
    let cases = [
        ("both ways", Blackhole::BOTH),
        ("requests", Blackhole::REQUESTS),
        ("answers", Blackhole::ANSWERS),
    ];
    for (number, (case, blackhole)) in cases.into_iter().enumerate() {
        let busy_site = BusySite::start(&format!("silent-agents-{number}"), SIZE).await;
        let agents = &busy_site.proxies().agents;
        let before = opened_connections(agents);
        agents.iter().for_each(|proxy| proxy.blackhole(blackhole));
        BusySite::wait_until_agents_replaced(case, agents, &before).await;
        tokio::time::sleep(LOAD_DURATION).await;
        busy_site.check(case).await;
    }
}

/// Guards against agents that are considered lost, or reject requests because they have no entry,
/// while their heartbeats wait on a blackholed connection.
#[tokio::test(flavor = "multi_thread")]
async fn blackholed_heartbeats_are_sent_over_new_connections() {
    // With one entry, only agents connect to it, so the number of connections is known.
    let size = SiteSize { entries: 1, ..SIZE };
    let busy_site = BusySite::start("silent-heartbeats", size).await;
    let entries = &busy_site.proxies().entries;
    let before = opened_connections(entries);
    entries[0].blackhole(Blackhole::BOTH);
    BusySite::wait_until_replaced("heartbeats", entries, &before, size.targets).await;
    tokio::time::sleep(LOAD_DURATION).await;
    busy_site.check("heartbeats").await;
}

/// Guards against an entry that cannot claim or read anything after its connections to the store
/// were blackholed.
#[tokio::test(flavor = "multi_thread")]
async fn blackholed_store_connections_are_replaced() {
    let busy_site = BusySite::start("silent-stores", SIZE).await;
    let stores = &busy_site.proxies().stores;
    let before = opened_connections(stores);
    stores
        .iter()
        .for_each(|proxy| proxy.blackhole(Blackhole::BOTH));
    BusySite::wait_until_replaced("stores", stores, &before, 1).await;
    // Requests that are sent after the replacement are claimed over the new connections.
    for entry in 0..SIZE.entries {
        let order = plain_body(&format!("later-{entry}"), "work_ms=1", false);
        let answer = post(busy_site.site.url(entry, "/v1/requests"), order).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    busy_site.check("stores").await;
}

/// Guards against faults that occur only if all connections are blackholed at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_site_recovers_when_all_connections_are_blackholed() {
    let busy_site = BusySite::start("silent-all", SIZE).await;
    let before = opened_connections(&busy_site.proxies().agents);
    busy_site.proxies().blackhole_all(Blackhole::BOTH);
    let agents = &busy_site.proxies().agents;
    BusySite::wait_until_agents_replaced("all", agents, &before).await;
    tokio::time::sleep(LOAD_DURATION).await;
    busy_site.check("all").await;
}
