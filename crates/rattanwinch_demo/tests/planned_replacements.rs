//! Every process of a site is replaced in turn while callers keep all connections busy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::HttpAnswer;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::deadline_in;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::until;
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

/// Callers at any time, 60 for each executor.
const CALLERS: usize = 60 * SIZE.targets;

/// A target that leaves gets no new work later than this.
const LEAVING_BOUND: Duration = Duration::from_secs(5);

/// The time in which a stopped process ends, and in which work reaches a new one.
const REPLACED_BOUND: Duration = Duration::from_secs(15);

/// How often the balancer asks an entry whether it is ready.
const BALANCER_POLL: Duration = Duration::from_millis(20);

/// A caller sends a request at most this often.
const MAX_SENDS: usize = 200;

/// The balancer's view: the entries that are ready.
type Ready = watch::Sender<Vec<SocketAddr>>;

/// Stands in for the platform's balancer: asks each entry whether it is ready.
async fn balance(addresses: watch::Receiver<Vec<SocketAddr>>, ready: Arc<Ready>) {
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.expect("a client without settings");
    loop {
        let mut usable = Vec::new();
        let known = addresses.borrow().clone();
        for address in known {
            let asked = client.get(format!("http://{address}/ready")).send().await;
            if asked.is_ok_and(|response| response.status().is_success()) {
                usable.push(address);
            }
        }
        ready.send_replace(usable);
        tokio::time::sleep(BALANCER_POLL).await;
    }
}

/// Sends one request until it is answered; a refusal is sent again only if nothing has run.
async fn send(id: &str, idempotent: bool, draw: usize, ready: &Ready) -> HttpAnswer {
    let mut body = plain_body(id, "work_ms=20", idempotent);
    body["deadline_unix_ms"] = json!(deadline_in(Duration::from_secs(30)));
    // It is sent again only after "not run", so no earlier submission can have run.
    body["first_submission"] = json!(true);
    for attempt in 0..MAX_SENDS {
        let usable = ready.borrow().clone();
        let Some(address) = usable.get((draw + attempt) % usable.len().max(1)) else {
            tokio::time::sleep(BALANCER_POLL).await;
            continue;
        };
        let answer = post(format!("http://{address}/v1/requests"), body.clone()).await;
        if answer.status == 200 || answer.verdict() != "not_run" {
            return answer;
        }
        tokio::time::sleep(BALANCER_POLL).await;
    }
    panic!("{id} was refused {MAX_SENDS} times");
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
            // Every sixth caller sends non-idempotent requests, whose claims the store can take.
            let idempotent = caller % 6 != 0;
            tasks.spawn(async move {
                let mut answers = Vec::new();
                while !*stopped.borrow() {
                    let id = format!("call-{caller}-{}", answers.len());
                    let answer = send(&id, idempotent, caller, &ready).await;
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

/// Replaces one agent and returns how long after the signal its target got its last request.
async fn replace_agent(site: &mut ProcessSite, index: usize) -> Duration {
    let since = Instant::now();
    site.agents[index]
        .signal(Signal::Terminate)
        .expect("the agent runs");
    let (mut last, mut known) = (Duration::ZERO, site.executors[index].started());
    while !matches!(site.agents[index].ended(), Ok(Some(_))) {
        assert!(
            since.elapsed() < REPLACED_BOUND,
            "agent {index} doesn't end"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
        let started = site.executors[index].started();
        if started != known {
            (known, last) = (started, since.elapsed());
        }
    }
    assert!(
        matches!(site.agents[index].ended(), Ok(Some(true))),
        "agent {index} failed"
    );
    let agent = site.start_agent(index).expect("a new agent starts");
    site.agents[index] = agent;
    let used = || site.executors[index].started() > known;
    until(REPLACED_BOUND, "the new agent gets work", used).await;
    last
}

async fn replace_entry(
    site: &mut ProcessSite,
    index: usize,
    known: &watch::Sender<Vec<SocketAddr>>,
) {
    let entry = &mut site.entries[index];
    entry.signal(Signal::Terminate).expect("the entry runs");
    until(REPLACED_BOUND, "the entry ends", || {
        matches!(entry.ended(), Ok(Some(true)))
    })
    .await;
    let entry = site.start_entry(index).expect("a new entry starts");
    site.entries[index] = entry;
    known.send_replace(http_addresses(site));
    site.wait_until_ready()
        .await
        .expect("the new entry reaches every target");
}

fn http_addresses(site: &ProcessSite) -> Vec<SocketAddr> {
    let entries = site.entries.iter();
    let addresses = entries.map(|entry| entry.address("http").expect("logged"));
    addresses.collect()
}

/// Guards against planned stops that cut requests off, run a non-idempotent one twice or refuse
/// one as "not run" that ran, against new work for a target that leaves, and against an entry or
/// an agent that gets no work after its replacement.
#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_process_cuts_no_request() {
    let mut site = ProcessSite::start("replacements", SIZE)
        .await
        .expect("site starts");
    let (known, addresses) = watch::channel(http_addresses(&site));
    let ready = Arc::new(watch::Sender::new(Vec::new()));
    let balancer = tokio::spawn(balance(addresses, Arc::clone(&ready)));
    let callers = Callers::start(&ready);
    let busy = || {
        site.executors
            .iter()
            .all(|executor| executor.started() > 100)
    };
    until(REPLACED_BOUND, "the site is loaded", busy).await;
    for index in 0..SIZE.targets {
        let last = replace_agent(&mut site, index).await;
        println!("agent {index}: last request {last:?} after the signal");
        assert!(
            last <= LEAVING_BOUND,
            "agent {index}: new work after {last:?}"
        );
    }
    for index in 0..SIZE.entries {
        replace_entry(&mut site, index, &known).await;
    }
    let answers = callers.finish().await;
    balancer.abort();
    println!("{} requests", answers.len());
    let mut cut: BTreeMap<String, usize> = BTreeMap::new();
    for (id, idempotent, answer) in &answers {
        if answer.status != 200 {
            let why = format!("idempotent {idempotent}: {} {}", answer.status, answer.body);
            let count = cut.entry(why).or_default();
            *count += 1;
            if *count == 1 {
                println!("first cut with idempotent {idempotent}: {id}");
            }
        }
    }
    assert!(cut.is_empty(), "requests were cut: {cut:#?}");
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
