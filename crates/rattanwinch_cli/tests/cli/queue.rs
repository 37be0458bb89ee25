//! Tests of the queue commands against a front and a side on stand-ins of the users' platform.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_front::FrontDaemon;
use rattanwinch_front::FrontSettings;
use rattanwinch_http_server::HttpLimits;
use rattanwinch_runtime::LogLevel;
use rattanwinch_runtime::SiteDaemon as _;
use rattanwinch_runtime::VmSettings;
use rattanwinch_runtime::discard_logger;
use rattanwinch_side::SideDaemon;
use rattanwinch_side::SideSettings;
use rattanwinch_site_standins::ExecutorOptions;
use rattanwinch_site_standins::SiteExecutor;
use rattanwinch_site_standins::SiteGangs;
use rattanwinch_site_standins::SiteStore;
use rattanwinch_site_standins::StoreEndpoint;
use serde_json::json;

use crate::site::command;

struct QueueSite {
    settings: PathBuf,
    _front: FrontDaemon,
    _side: SideDaemon,
    _executor: SiteExecutor,
    _store_endpoint: StoreEndpoint,
}

fn vm(name: &str, ip: IpAddr, seed: IpAddr, store: SocketAddr) -> VmSettings {
    VmSettings {
        source: PathBuf::new(),
        name: Arc::from(name),
        ip,
        peer_port: 7000,
        seeds: vec![seed],
        store,
        max_lease: Duration::from_secs(6),
        log_level: LogLevel::default(),
    }
}

async fn start() -> QueueSite {
    let store = SiteStore::new();
    store.put(
        "op/config",
        &json!({
            "version": 1,
            "routes": [{ "name": "jobs", "host": "jobs.example", "prefix": "/jobs/",
                "service": "workers", "priority": 1, "max_attempts": 2 }],
            "services": [{ "name": "workers" }],
            "tenants": [{ "name": "letrafa", "api_keys": ["secret"] }],
        }),
    );
    let store_endpoint = store.open().await;
    // A separate loopback subnet for each process, so that parallel test programs do not collide.
    let process = u8::try_from(std::process::id() % 200).expect("below 256");
    let front_ip = IpAddr::V4(Ipv4Addr::new(127, 20 + process, 250, 1));
    let side_ip = IpAddr::V4(Ipv4Addr::new(127, 20 + process, 250, 2));
    let callers = SocketAddr::new(front_ip, 8000);
    let front = FrontSettings {
        vm: vm("front", front_ip, front_ip, store_endpoint.address()),
        caller_listen: callers,
        ready_listen: SocketAddr::new(front_ip, 8001),
        advisor: None,
        machines: None,
        ended_job_retention: Duration::from_secs(120),
        grace: Duration::from_secs(6),
        cpu_share: 1.0,
        reclaim_time: Duration::from_millis(2700),
        stop_time: Duration::from_millis(900),
        http: HttpLimits::default(),
    };
    let side = SideSettings {
        vm: vm("side", side_ip, front_ip, store_endpoint.address()),
        executor_listen: SocketAddr::new(side_ip, 8002),
        http: HttpLimits::default(),
    };
    let executor = ExecutorOptions {
        id: "i-1".to_owned(),
        service: "workers".to_owned(),
        zone: "az-1".to_owned(),
        labels: Vec::new(),
        agent: side.executor_listen,
        accelerators: 8,
        enforces_capacity: false,
        gangs: SiteGangs::default(),
        tickets: None,
    };
    let settings = Path::new(env!("CARGO_TARGET_TMPDIR")).join("queue.ini");
    // The first front does not exist, as if it had been lost.
    let text = format!(
        "[queue]\nfronts = http://{side_ip}:9, http://{callers}\nhost = jobs.example\n\
         prefix = /jobs/\nkey = secret\n"
    );
    std::fs::write(&settings, text).expect("a file");
    QueueSite {
        settings,
        _front: FrontDaemon::start(front, discard_logger())
            .await
            .expect("free ports"),
        _side: SideDaemon::start(side, discard_logger())
            .await
            .expect("free ports"),
        _executor: SiteExecutor::start(executor).await,
        _store_endpoint: store_endpoint,
    }
}

impl QueueSite {
    async fn command(&self, arguments: &[&str]) -> crate::site::Outcome {
        let settings = self.settings.to_str().expect("a path in UTF-8");
        command(&[&["--settings", settings, "queue"], arguments].concat()).await
    }
}

/// Guards against queue commands that do not fail over to a front that answers, and against exit
/// codes that do not show how a job ended.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_a_queue_are_submitted_watched_and_cancelled() {
    let site = start().await;
    let id = "00000000000000a1";
    let submit = ["submit", "--id", id, "--tasks", "3", "--accelerators", "1"];
    let submitted = site
        .command(&[&submit[..], &["work_ms=100"]].concat())
        .await;
    assert_eq!(submitted.code, Some(0), "{submitted:?}");
    let waited = site.command(&["wait", id]).await;
    assert_eq!(waited.code, Some(0), "{waited:?}");
    assert!(waited.stdout.contains("completed"), "{waited:?}");

    let id = "00000000000000a2";
    let submitted = site.command(&["submit", "--id", id, "work_ms=60000"]).await;
    assert_eq!(submitted.code, Some(0), "{submitted:?}");
    let cancelled = site.command(&["cancel", id]).await;
    assert_eq!(cancelled.code, Some(0), "{cancelled:?}");
    let waited = site.command(&["wait", id]).await;
    assert_eq!(waited.code, Some(1), "{waited:?}");
    assert!(waited.stdout.contains("cancelled"), "{waited:?}");

    let pending = site.command(&["pending"]).await;
    assert_eq!(pending.stdout.trim(), "pending 0", "{pending:?}");
    let unknown = site.command(&["status", "00000000000000ff"]).await;
    assert_eq!(unknown.code, Some(1), "{unknown:?}");
    let wrong = site.command(&["status", "nonsense"]).await;
    assert_eq!(wrong.code, Some(2), "{wrong:?}");
}
