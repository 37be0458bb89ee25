use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_front::FrontDaemon;
use rattanwinch_front::FrontSettings;
use rattanwinch_runtime::VmSettings;
use rattanwinch_runtime::discard_logger;
use rattanwinch_side::SideDaemon;
use rattanwinch_side::SideSettings;
use rattanwinch_site_standins::ExecutorOptions;
use rattanwinch_site_standins::SiteExecutor;
use rattanwinch_site_standins::SiteStore;
use rattanwinch_site_standins::StoreDoor;
use reqwest::Method;
use serde_json::Value;
use serde_json::json;

pub const KEY: &str = "key-of-letrafa";
pub const HOST: &str = "jobs.example";

const PEER_PORT: u16 = 7000;
const CALLER_PORT: u16 = 8000;
const READY_PORT: u16 = 8001;
const EXECUTOR_PORT: u16 = 8002;

/// Each site has a /24 of the loopback range of its own, so that all VMs can have the same ports.
fn next_subnet() -> u8 {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

pub struct Front {
    pub daemon: FrontDaemon,
    pub door: StoreDoor,
    pub callers: SocketAddr,
}

pub struct Worker {
    /// Runs until the worker is dropped.
    _daemon: SideDaemon,
    pub door: StoreDoor,
    pub executor: SiteExecutor,
    options: ExecutorOptions,
}

pub struct Site {
    pub store: SiteStore,
    pub fronts: Vec<Front>,
    pub workers: Vec<Worker>,
    http: reqwest::Client,
}

impl Site {
    pub async fn start(fronts: u8, workers: u8) -> Self {
        let store = SiteStore::new();
        store.put("op/config", &config());
        let process = u8::try_from(std::process::id() % 200).expect("below 256");
        let subnet = next_subnet();
        let ip = |vm: u8| IpAddr::V4(Ipv4Addr::new(127, 20 + process, subnet, vm));
        let seeds: Vec<_> = (1..=fronts).map(ip).collect();
        let mut site = Self {
            store,
            fronts: Vec::new(),
            workers: Vec::new(),
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client"),
        };
        for vm in 1..=fronts {
            site.start_front(ip(vm), &seeds).await;
        }
        for vm in 1..=workers {
            site.start_worker(ip(100 + vm), &seeds).await;
        }
        site
    }

    async fn start_front(&mut self, ip: IpAddr, seeds: &[IpAddr]) {
        let door = self.store.open().await;
        let callers = SocketAddr::new(ip, CALLER_PORT);
        let settings = FrontSettings {
            vm: vm_settings(format!("front-{ip}"), ip, seeds, &door),
            caller_listen: callers,
            ready_listen: SocketAddr::new(ip, READY_PORT),
            advisor: None,
            keep_ended: Duration::from_secs(120),
            grace: Duration::from_secs(6),
        };
        let daemon = FrontDaemon::start(settings, discard_logger())
            .await
            .expect("free ports");
        self.fronts.push(Front {
            daemon,
            door,
            callers,
        });
    }

    async fn start_worker(&mut self, ip: IpAddr, seeds: &[IpAddr]) {
        let door = self.store.open().await;
        let settings = SideSettings {
            vm: vm_settings(format!("side-{ip}"), ip, seeds, &door),
            executor_listen: SocketAddr::new(ip, EXECUTOR_PORT),
        };
        let options = ExecutorOptions {
            id: format!("i-{ip}"),
            service: "design".to_owned(),
            zone: "az-1".to_owned(),
            labels: vec!["a".to_owned(), "r1".to_owned()],
            agent: settings.executor_listen,
            accelerators: 8,
        };
        let daemon = SideDaemon::start(settings, discard_logger())
            .await
            .expect("free ports");
        let executor = SiteExecutor::start(options.clone()).await;
        self.workers.push(Worker {
            _daemon: daemon,
            door,
            executor,
            options,
        });
    }

    /// Ends the executor of a worker and starts another one with another id on its VM.
    pub async fn replace_executor(&mut self, worker: usize) {
        let mut worker = self.workers.remove(worker);
        worker.executor.crash().await;
        worker.options.id.push('x');
        worker.executor = SiteExecutor::start(worker.options.clone()).await;
        self.workers.push(worker);
    }

    pub async fn call(
        &self,
        front: usize,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> (u16, Value) {
        self.call_with_key(front, method, path, body, KEY).await
    }

    pub async fn call_with_key(
        &self,
        front: usize,
        method: Method,
        path: &str,
        body: Option<Value>,
        key: &str,
    ) -> (u16, Value) {
        let url = format!("http://{}{path}", self.fronts[front].callers);
        let mut req = self
            .http
            .request(method, url)
            .header("Host", HOST)
            .header("Authorization", format!("Bearer {key}"))
            .header("Deadline-Ms", "3000");
        if let Some(body) = body {
            req = req.json(&body);
        }
        let answer = req.send().await.expect("the front answers");
        let status = answer.status().as_u16();
        (status, answer.json().await.unwrap_or_default())
    }

    pub async fn submit(&self, front: usize, id: &str, work_ms: u64, count: u32) -> u16 {
        let body = job(work_ms, count);
        let path = format!("/checks/{id}");
        self.call(front, Method::POST, &path, Some(body)).await.0
    }

    pub async fn state(&self, front: usize, id: &str) -> String {
        let (status, body) = self
            .call(front, Method::GET, &format!("/checks/{id}"), None)
            .await;
        match body["state"].as_str() {
            Some(state) => state.to_owned(),
            None => status.to_string(),
        }
    }

    /// Waits until a job is shown in a state; panics after `limit`.
    pub async fn wait_for(
        &self,
        front: usize,
        id: &str,
        wanted: &str,
        limit: Duration,
    ) -> Duration {
        let asked = Instant::now();
        loop {
            let state = self.state(front, id).await;
            if state == wanted {
                return asked.elapsed();
            }
            assert!(
                asked.elapsed() < limit,
                "{id} is {state}, not {wanted}, after {limit:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a submission is accepted, as callers repeat theirs.
    pub async fn submit_until_accepted(&self, front: usize, id: &str, work_ms: u64, count: u32) {
        let asked = Instant::now();
        loop {
            let status = self.submit(front, id, work_ms, count).await;
            if status == 200 {
                return;
            }
            assert!(
                matches!(status, 503 | 504),
                "{id} is answered with {status}"
            );
            assert!(
                asked.elapsed() < Duration::from_secs(10),
                "{id} is never accepted"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// The names of all tasks that were started, with one entry a start.
    pub fn started(&self, id: &str) -> Vec<String> {
        let starts = self
            .workers
            .iter()
            .flat_map(|worker| worker.executor.starts());
        let mut names: Vec<_> = starts
            .map(|start| start.task)
            .filter(|task| task.starts_with(id))
            .collect();
        names.sort();
        names
    }

    /// The front that schedules, by the record in the store.
    pub fn scheduling(&self) -> usize {
        let record = self
            .store
            .value("rattanwinch/leader")
            .expect("a front schedules");
        let record: Value = serde_json::from_slice(&record).expect("a record");
        let address: SocketAddr = record["address"]
            .as_str()
            .expect("one")
            .parse()
            .expect("one");
        let front = self
            .fronts
            .iter()
            .position(|front| front.callers.ip() == address.ip());
        front.expect("a front of the site")
    }
}

fn vm_settings(name: String, ip: IpAddr, seeds: &[IpAddr], door: &StoreDoor) -> VmSettings {
    VmSettings {
        source: PathBuf::new(),
        name: Arc::from(name),
        ip,
        peer_port: PEER_PORT,
        seeds: seeds.to_vec(),
        store: door.address(),
        longest_lease: Duration::from_secs(6),
    }
}

pub fn job(work_ms: u64, count: u32) -> Value {
    json!({
        "spec": format!("work_ms={work_ms}"),
        "phases": [{ "count": count, "cpu": 1000, "mem_mb": 100, "gpu": 1, "estimate_ms": work_ms }],
    })
}

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "checks", "host": HOST, "prefix": "/checks/", "kind": "unsafe",
            "timeout_ms": 3000, "priority": 1, "service": "design", "max_attempts": 3,
        }],
        "services": [{ "name": "design", "enforces_capacity": false }],
        "tenants": [
            { "name": "letrafa", "api_keys": [KEY], "guaranteed": { "gpu": 4 } },
            { "name": "gait", "api_keys": ["key-of-gait"] },
        ],
    })
}
