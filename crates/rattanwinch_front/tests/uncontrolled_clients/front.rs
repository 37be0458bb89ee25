//! The ports of a front.

use std::net::SocketAddr;
use std::time::Duration;

use rattanwinch_site_standins::SiteStore;
use rattanwinch_site_standins::StoreEndpoint;
use serde_json::json;

use crate::CROWD;
use crate::REQUEST_MEMORY_KB;
use crate::crowd::Misuse;
use crate::crowd::misuse;
use crate::crowd::send;
use crate::crowd::send_all;
use crate::process::Process;
use crate::run_alone;

/// A body that is just below the limit of 262,144 bytes.
const LARGE_BODY: usize = 261_000;

const PATH: &str = "/checks/large";

/// Connections of the large crowd on the smallest machine.
const LARGE_CROWD: usize = 1200;

/// Peak memory on the smallest machine, which has 120 MB, in KiB.
const SMALLEST_MACHINE_BOUND_KB: u64 = 110 * 1000;

/// Ports of the front, on an address of its own.
const CALLERS: &str = "127.18.0.1:8000";
const READINESS: &str = "127.18.0.1:8001";
const PEERS: &str = "127.18.0.1:7000";
const METRICS: &str = "127.18.0.1:7001";

struct Front {
    process: Process,
    _store: StoreEndpoint,
}

impl Front {
    /// Starts a front that schedules, without targets, with little memory for requests.
    async fn start(limits: &str) -> Self {
        Self::start_with(&format!(
            "request_memory_kb = {REQUEST_MEMORY_KB}\n{limits}"
        ))
        .await
    }

    /// Starts a front with the default limits.
    async fn start_on_smallest_machine() -> Self {
        Self::start_with("").await
    }

    async fn start_with(limits: &str) -> Self {
        let store = SiteStore::new();
        let config = json!({
            "version": 1,
            "routes": [{
                "name": "checks", "host": "jobs.example", "prefix": "/checks/", "kind": "unsafe",
                "timeout_ms": 3000, "priority": 1, "service": "design", "max_attempts": 3,
            }],
            "services": [{ "name": "design", "enforces_capacity": true }],
            "tenants": [{ "name": "letrafa", "api_keys": ["key"], "guaranteed": { "gpu": 4 } }],
        });
        store.put("op/config", &config);
        let endpoint = store.open().await;
        let settings = format!(
            "[vm]\nname = front\nip = 127.18.0.1\npeer_port = 7000\n\
             [listen]\ncallers = {CALLERS}\nreadiness = {READINESS}\n\
             [store]\naddress = {}\n\
             [limits]\nlongest_lease_ms = 6000\nkeep_ended_s = 120\ngrace_s = 6\n{limits}",
            endpoint.address(),
        );
        let callers = address(CALLERS);
        let process = Process::start("rattanwinch-front", "front", &settings, callers).await;
        let front = Self {
            process,
            _store: endpoint,
        };
        while send(callers, &submission("first")).await != Some(200) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        front
    }
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// An ordinary request: it submits a small job.
fn submission(id: &str) -> Vec<u8> {
    let body = json!({
        "spec": "work_ms=10",
        "phases": [{ "count": 1, "cpu": 100, "mem_mb": 10, "gpu": 1, "estimate_ms": 10 }],
    });
    post(&format!("/checks/{id}"), &body.to_string())
}

fn post(path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer key\r\n\
         Deadline-Ms: 3000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: jobs.example\r\n\r\n").into_bytes()
}

/// Guards against the smallest machine of the users' sites, of 120 MB, running out of memory under
/// the default limits.
#[tokio::test]
async fn the_smallest_machine_survives_a_large_crowd() {
    let _alone = run_alone().await;
    let each = Misuse::ALL.map(|kind| vec![kind]);
    for kinds in each.into_iter().chain([Misuse::ALL.to_vec()]) {
        eprintln!("{kinds:?}");
        let mut front = Front::start_on_smallest_machine().await;
        let callers = address(CALLERS);
        let _crowd = misuse(callers, LARGE_CROWD, &kinds, PATH, LARGE_BODY).await;
        front.process.assert_memory_under(SMALLEST_MACHINE_BOUND_KB);
        let status = send(callers, &submission("last")).await;
        assert_eq!(status, Some(200), "an ordinary caller is answered");
        front.process.assert_memory_under(SMALLEST_MACHINE_BOUND_KB);
    }
}

/// Misuses a port of a front, which then has to be within its memory and answer a caller.
async fn assert_survives(port: &str, kinds: &[Misuse]) {
    let mut front = Front::start("").await;
    let _crowd = misuse(address(port), CROWD, kinds, PATH, LARGE_BODY).await;
    front.process.assert_within_memory();
    assert_eq!(
        send(address(CALLERS), &submission("last")).await,
        Some(200),
        "an ordinary caller is answered"
    );
    front.process.assert_within_memory();
}

/// Guards against a front that keeps reading heads which never end.
#[tokio::test]
async fn endless_heads_of_callers_take_bounded_memory() {
    let _alone = run_alone().await;
    assert_survives(CALLERS, &[Misuse::EndlessHead]).await;
}

/// Guards against a front that keeps the empty lines before a request.
#[tokio::test]
async fn empty_lines_of_callers_take_bounded_memory() {
    let _alone = run_alone().await;
    assert_survives(CALLERS, &[Misuse::EmptyLines]).await;
}

/// Guards against a front that keeps any number of bodies that stall just short of their end.
#[tokio::test]
async fn stalled_bodies_of_callers_take_bounded_memory() {
    let _alone = run_alone().await;
    assert_survives(CALLERS, &[Misuse::StalledBody]).await;
}

/// Guards against a front that keeps any number of chunked bodies without their last chunk.
#[tokio::test]
async fn stalled_chunks_of_callers_take_bounded_memory() {
    let _alone = run_alone().await;
    assert_survives(CALLERS, &[Misuse::LargeChunks]).await;
}

/// As [`stalled_chunks_of_callers_take_bounded_memory`], for the overhead of many small chunks.
#[tokio::test]
async fn small_chunks_of_callers_take_bounded_memory() {
    let _alone = run_alone().await;
    assert_survives(CALLERS, &[Misuse::SmallChunks]).await;
}

/// Guards against limits that hold for each kind of misuse only by itself.
#[tokio::test]
async fn all_misuse_of_callers_at_once_takes_bounded_memory() {
    let _alone = run_alone().await;
    assert_survives(CALLERS, &Misuse::ALL).await;
}

/// Guards against ports without the limits of the callers' port.
#[tokio::test]
async fn misuse_of_the_other_ports_takes_bounded_memory() {
    let _alone = run_alone().await;
    for port in [READINESS, METRICS, PEERS] {
        eprintln!("{port}");
        assert_survives(port, &Misuse::ALL).await;
    }
}

/// Guards against silent connections that take all descriptors of a process.
#[tokio::test]
async fn silent_connections_leave_descriptors_to_the_process() {
    let _alone = run_alone().await;
    let mut front = Front::start("max_connections = 100\n").await;
    let _crowd = misuse(address(CALLERS), CROWD, &[Misuse::Silence], PATH, 0).await;
    front.process.assert_within_descriptors();
    assert_eq!(
        send(address(CALLERS), &submission("last")).await,
        Some(200),
        "an ordinary caller is answered"
    );
}

/// Control: a crowd of ordinary callers of the same size is served.
#[tokio::test]
async fn ordinary_callers_at_once_are_all_served() {
    let _alone = run_alone().await;
    let mut front = Front::start("").await;
    let requests = (0..CROWD).map(|index| submission(&format!("job-{index}")));
    let statuses = send_all(address(CALLERS), requests.collect()).await;
    assert_eq!(statuses, vec![Some(200); CROWD]);
    front.process.assert_within_memory();
}

/// Control: large bodies that end are read; the front answers that they are no jobs.
#[tokio::test]
async fn whole_large_bodies_at_once_are_all_read_within_the_memory() {
    let _alone = run_alone().await;
    let mut front = Front::start("").await;
    let body = "b".repeat(LARGE_BODY);
    let statuses = send_all(address(CALLERS), vec![post(PATH, &body); CROWD]).await;
    assert_eq!(statuses, vec![Some(400); CROWD]);
    front.process.assert_within_memory();
}

/// Control: scrapers and the balancer are served on their ports.
#[tokio::test]
async fn crowds_of_scrapers_and_readiness_checks_are_served() {
    let _alone = run_alone().await;
    let mut front = Front::start("").await;
    for (port, path) in [(READINESS, "/"), (METRICS, "/metrics")] {
        let statuses = send_all(address(port), vec![get(path); CROWD]).await;
        assert_eq!(statuses, vec![Some(200); CROWD], "{port}");
    }
    front.process.assert_within_memory();
}
