//! Tests a rolling replacement of all processes of a site under load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::HttpAnswer;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::deadline_unix_ms;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::wait_until;
use rattanwinch_standins::StandinExecutor;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 3,
    slots: 8,
    entries: 2,
};

/// The number of concurrent callers, 60 per executor.
const CALLERS: usize = 60 * SIZE.targets;

/// The time limit for new work to reach a target that is shutting down.
const DRAIN_BOUND: Duration = Duration::from_secs(5);

/// The time limit for a process to shut down, and for work to reach its replacement.
const REPLACED_BOUND: Duration = Duration::from_secs(15);

/// The interval of the load balancer's readiness checks.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum number of times that a caller sends a request.
const MAX_ATTEMPTS: usize = 200;

/// The entries that the load balancer considers ready.
type Ready = watch::Sender<Vec<SocketAddr>>;

/// Simulates the platform's load balancer: checks the readiness of each entry.
async fn run_load_balancer(addresses: watch::Receiver<Vec<SocketAddr>>, ready: Arc<Ready>) {
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.expect("a client without settings");
    loop {
        let mut ready_entries = Vec::new();
        let entry_addresses = addresses.borrow().clone();
        for address in entry_addresses {
            let checked = client.get(format!("http://{address}/ready")).send().await;
            if checked.is_ok_and(|response| response.status().is_success()) {
                ready_entries.push(address);
            }
        }
        ready.send_replace(ready_entries);
        tokio::time::sleep(READINESS_CHECK_INTERVAL).await;
    }
}

/// Sends a request until it is answered; retries an error only if it is "not run".
async fn send_until_answered(
    id: &str,
    idempotent: bool,
    offset: usize,
    ready: &Ready,
) -> HttpAnswer {
    let mut body = plain_body(id, "work_ms=20", idempotent);
    body["deadline_unix_ms"] = json!(deadline_unix_ms(Duration::from_secs(30)));
    // The request is retried only after "not run", so no earlier submission can have run.
    body["first_submission"] = json!(true);
    for attempt in 0..MAX_ATTEMPTS {
        let ready_entries = ready.borrow().clone();
        let Some(address) = ready_entries.get((offset + attempt) % ready_entries.len().max(1))
        else {
            tokio::time::sleep(READINESS_CHECK_INTERVAL).await;
            continue;
        };
        let answer = post(format!("http://{address}/v1/requests"), body.clone()).await;
        if answer.status == 200 || answer.verdict() != "not_run" {
            return answer;
        }
        tokio::time::sleep(READINESS_CHECK_INTERVAL).await;
    }
    panic!("{id} was rejected {MAX_ATTEMPTS} times");
}

struct Callers {
    stop: watch::Sender<bool>,
    tasks: JoinSet<Vec<(String, bool, HttpAnswer)>>,
}

impl Callers {
    fn start(ready: &Arc<Ready>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            let (ready, stopped) = (Arc::clone(ready), stopped.clone());
            // Every sixth caller sends non-idempotent requests, so that the claims stay within the
            // store's rate limit.
            let idempotent = caller % 6 != 0;
            tasks.spawn(async move {
                let mut answers = Vec::new();
                while !*stopped.borrow() {
                    let id = format!("call-{caller}-{}", answers.len());
                    let answer = send_until_answered(&id, idempotent, caller, &ready).await;
                    answers.push((id, idempotent, answer));
                }
                answers
            });
        }
        Self { stop, tasks }
    }

    async fn finish(mut self) -> Vec<(String, bool, HttpAnswer)> {
        self.stop.send_replace(true);
        let mut answers = Vec::new();
        while let Some(finished) = self.tasks.join_next().await {
            answers.extend(finished.expect("a caller gets answers in the end"));
        }
        answers
    }
}

/// Replaces one agent and returns the time from the signal to the last request at its target.
async fn replace_agent(site: &mut ProcessSite, index: usize) -> Duration {
    let since = Instant::now();
    site.agents[index]
        .signal(Signal::Terminate)
        .expect("the agent runs");
    let (mut last_start, mut start_count) = (Duration::ZERO, site.executors[index].started());
    while !matches!(site.agents[index].exit_success(), Ok(Some(_))) {
        assert!(
            since.elapsed() < REPLACED_BOUND,
            "agent {index} did not shut down within {REPLACED_BOUND:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
        let started = site.executors[index].started();
        if started != start_count {
            (start_count, last_start) = (started, since.elapsed());
        }
    }
    assert!(
        matches!(site.agents[index].exit_success(), Ok(Some(true))),
        "agent {index} failed"
    );
    let agent = site.start_agent(index).expect("a new agent starts");
    site.agents[index] = agent;
    let used = || site.executors[index].started() > start_count;
    wait_until(REPLACED_BOUND, "the new agent gets work", used).await;
    last_start
}

async fn replace_entry(
    site: &mut ProcessSite,
    index: usize,
    address_updates: &watch::Sender<Vec<SocketAddr>>,
) {
    let entry = &mut site.entries[index];
    entry.signal(Signal::Terminate).expect("the entry runs");
    wait_until(REPLACED_BOUND, "the entry ends", || {
        matches!(entry.exit_success(), Ok(Some(true)))
    })
    .await;
    let entry = site.start_entry(index).expect("a new entry starts");
    site.entries[index] = entry;
    address_updates.send_replace(http_addresses(site));
    site.wait_until_ready()
        .await
        .expect("the new entry reaches every target");
}

fn http_addresses(site: &ProcessSite) -> Vec<SocketAddr> {
    let entries = site.entries.iter();
    let addresses = entries.map(|entry| entry.address("http").expect("logged"));
    addresses.collect()
}

/// Guards against graceful shutdowns that abort requests, run a non-idempotent one twice or report
/// one that ran as "not run", against new work for a target that is shutting down, and against an
/// entry or agent that gets no work after its replacement.
#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_process_aborts_no_request() {
    let mut site = ProcessSite::start("replacements", SIZE)
        .await
        .expect("site starts");
    let (address_updates, addresses) = watch::channel(http_addresses(&site));
    let ready = Arc::new(watch::Sender::new(Vec::new()));
    let balancer = tokio::spawn(run_load_balancer(addresses, Arc::clone(&ready)));
    let callers = Callers::start(&ready);
    let busy = || {
        site.executors
            .iter()
            .all(|executor| executor.started() > 100)
    };
    wait_until(REPLACED_BOUND, "the site is loaded", busy).await;
    for index in 0..SIZE.targets {
        let last_start = replace_agent(&mut site, index).await;
        println!("agent {index}: last request {last_start:?} after the signal");
        assert!(
            last_start <= DRAIN_BOUND,
            "agent {index}: new work after {last_start:?}"
        );
    }
    for index in 0..SIZE.entries {
        replace_entry(&mut site, index, &address_updates).await;
    }
    let answers = callers.finish().await;
    balancer.abort();
    println!("{} requests", answers.len());
    let mut failed: BTreeMap<String, usize> = BTreeMap::new();
    for (id, idempotent, answer) in &answers {
        if answer.status != 200 {
            let failure = format!("idempotent {idempotent}: {} {}", answer.status, answer.body);
            let count = failed.entry(failure).or_default();
            *count += 1;
            if *count == 1 {
                println!("first failed request with idempotent {idempotent}: {id}");
            }
        }
    }
    assert!(failed.is_empty(), "requests failed: {failed:#?}");
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in site.executors.iter().flat_map(StandinExecutor::runs) {
        let request = run.split('#').next().unwrap_or(&run).to_owned();
        *runs.entry(request).or_default() += 1;
    }
    for (id, idempotent, _) in answers {
        let count = runs.get(&format!("letrafa/{id}")).copied().unwrap_or(0);
        assert!(
            count == 1 || (idempotent && count > 1),
            "{id} ran {count} times"
        );
    }
}
