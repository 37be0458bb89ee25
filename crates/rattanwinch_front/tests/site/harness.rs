use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_front::FrontDaemon;
use rattanwinch_front::FrontSettings;
use rattanwinch_runtime::LogLevel;
use rattanwinch_runtime::VmSettings;
use rattanwinch_runtime::writer_logger;
use rattanwinch_side::SideDaemon;
use rattanwinch_side::SideSettings;
use rattanwinch_site_standins::AdvisorTimes;
use rattanwinch_site_standins::ExecutorOptions;
use rattanwinch_site_standins::RunRecord;
use rattanwinch_site_standins::SiteAdvisor;
use rattanwinch_site_standins::SiteExecutor;
use rattanwinch_site_standins::SiteGangs;
use rattanwinch_site_standins::SiteMachines;
use rattanwinch_site_standins::SiteStore;
use rattanwinch_site_standins::StoreDoor;
use rattanwinch_trace::LogFile;
use rattanwinch_trace::Trace;
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

/// How a front runs.
enum FrontProgram {
    Daemon(FrontDaemon),
    Process(KilledOnDrop),
}

struct KilledOnDrop(Child);

pub struct Front {
    program: FrontProgram,
    pub door: StoreDoor,
    pub callers: SocketAddr,
}

impl Front {
    /// Stops it gracefully.
    pub async fn stop(self) {
        if let FrontProgram::Daemon(daemon) = self.program {
            daemon.stop().await;
        }
    }

    /// Sends a signal to a front that runs as a process; `signal` as `kill` names it.
    pub fn signal(&self, signal: &str) {
        let FrontProgram::Process(KilledOnDrop(child)) = &self.program else {
            panic!("only processes take signals");
        };
        let sent = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success(), "the front has ended");
    }
}

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        // It may have been killed before; either way it has to be waited for.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub struct Worker {
    /// Runs until the worker is dropped.
    _daemon: SideDaemon,
    pub door: StoreDoor,
    pub executor: SiteExecutor,
    options: ExecutorOptions,
}

/// What a site consists of.
#[derive(Clone, Copy, Default)]
pub struct SiteOptions {
    pub fronts: u8,
    pub workers: u8,
    /// Fronts are processes of their own, so that they can be killed and frozen.
    pub front_processes: bool,
    /// The executors refuse what they have no room for.
    pub enforces_capacity: bool,
    /// The queue's targets are chosen by an advisor.
    pub advisor: Option<AdvisorTimes>,
    /// The upkeep of a machine takes so long; set if a service keeps the machines.
    pub maintenance: Option<Duration>,
}

/// What one daemon has logged.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

pub struct Site {
    pub store: SiteStore,
    pub machines: Option<SiteMachines>,
    pub advisor: Option<SiteAdvisor>,
    pub fronts: Vec<Front>,
    pub workers: Vec<Worker>,
    options: SiteOptions,
    gangs: SiteGangs,
    /// The runs of executors that are gone.
    former_runs: Vec<RunRecord>,
    logs: Mutex<Vec<(String, LogBuffer)>>,
    http: reqwest::Client,
}

impl Worker {
    /// The executor's id.
    pub fn id(&self) -> &str {
        &self.options.id
    }
}

impl Site {
    pub async fn start(fronts: u8, workers: u8) -> Self {
        let options = SiteOptions {
            fronts,
            workers,
            ..SiteOptions::default()
        };
        Self::start_with(options).await
    }

    pub async fn start_with(options: SiteOptions) -> Self {
        let SiteOptions {
            fronts, workers, ..
        } = options;
        let store = SiteStore::new();
        store.put("op/config", &config(options));
        let advisor = match options.advisor {
            Some(times) => Some(SiteAdvisor::start(times).await),
            None => None,
        };
        let process = u8::try_from(std::process::id() % 200).expect("below 256");
        let subnet = next_subnet();
        let ip = |vm: u8| IpAddr::V4(Ipv4Addr::new(127, 20 + process, subnet, vm));
        let seeds: Vec<_> = (1..=fronts).map(ip).collect();
        let machines = match options.maintenance {
            Some(maintenance) => Some(SiteMachines::start(maintenance).await),
            None => None,
        };
        let mut site = Self {
            store,
            machines,
            advisor,
            fronts: Vec::new(),
            workers: Vec::new(),
            options,
            gangs: SiteGangs::default(),
            former_runs: Vec::new(),
            logs: Mutex::default(),
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
        let front = if self.options.front_processes {
            start_process(ip, seeds, door).await
        } else {
            self.start_daemon(ip, seeds, door).await
        };
        self.fronts.push(front);
    }

    /// Starts another process on the VM of a front that has ended.
    pub async fn restart_front(&mut self, front: usize) {
        let ended = self.fronts.remove(front);
        let ip = ended.callers.ip();
        let others = self.fronts.iter().map(|other| other.callers.ip());
        let seeds: Vec<_> = others.chain([ip]).collect();
        drop(ended.program);
        let started = start_process(ip, &seeds, ended.door).await;
        self.fronts.insert(front, started);
    }

    /// A logger whose lines the test can read.
    fn logger(&self, process: &str, ip: IpAddr) -> slog::Logger {
        let buffer = LogBuffer::default();
        let mut logs = self.logs.lock().expect("no holder panics");
        logs.push((format!("{process} {ip}"), buffer.clone()));
        writer_logger(process, buffer)
    }

    /// What all daemons have logged, as files.
    pub fn log_files(&self) -> Vec<LogFile> {
        let logs = self.logs.lock().expect("no holder panics");
        let files = logs.iter().flat_map(|(name, buffer)| {
            let text = buffer.0.lock().expect("no writer panics");
            LogFile::parse(name, &String::from_utf8_lossy(&text))
        });
        files.collect()
    }

    /// Waits until the logs give a cause with these words for what became of a job; logs are
    /// written a little later than what they tell of.
    pub async fn wait_for_cause(&self, id: &str, words: &[&str]) {
        let asked = Instant::now();
        loop {
            let trace = Trace::of(id, self.log_files());
            let cause = trace.as_ref().map(Trace::cause).unwrap_or_default();
            if words.iter().all(|word| cause.contains(word)) {
                return;
            }
            if asked.elapsed() > Duration::from_secs(3) {
                let trace = trace.map_or_else(String::new, |trace| trace.to_string());
                panic!("expected {words:?}:\n{trace}");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn start_daemon(&self, ip: IpAddr, seeds: &[IpAddr], door: StoreDoor) -> Front {
        let callers = SocketAddr::new(ip, CALLER_PORT);
        let settings = FrontSettings {
            vm: vm_settings(format!("front-{ip}"), ip, seeds, &door),
            caller_listen: callers,
            ready_listen: SocketAddr::new(ip, READY_PORT),
            advisor: self.advisor.as_ref().map(SiteAdvisor::address),
            machines: self.machines.as_ref().map(SiteMachines::address),
            keep_ended: Duration::from_secs(120),
            grace: Duration::from_secs(6),
        };
        let daemon = FrontDaemon::start(settings, self.logger("rattanwinch-front", ip))
            .await
            .expect("free ports");
        Front {
            program: FrontProgram::Daemon(daemon),
            door,
            callers,
        }
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
            enforces_capacity: self.options.enforces_capacity,
            gangs: self.gangs.clone(),
            tickets: self.advisor.as_ref().map(SiteAdvisor::book),
        };
        let daemon = SideDaemon::start(settings, self.logger("rattanwinch-side", ip))
            .await
            .expect("free ports");
        let executor = SiteExecutor::start(options.clone()).await;
        if let Some(machines) = &self.machines {
            machines.keep(&format!("m{}", self.workers.len()), &executor);
        }
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
        self.former_runs.extend(worker.executor.crash().await);
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
        self.submit_body(front, id, job(work_ms, count)).await
    }

    pub async fn submit_body(&self, front: usize, id: &str, body: Value) -> u16 {
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
        self.submit_body_until_accepted(front, id, &job(work_ms, count))
            .await;
    }

    pub async fn submit_body_until_accepted(&self, front: usize, id: &str, body: &Value) {
        let asked = Instant::now();
        loop {
            let status = self.submit_body(front, id, body.clone()).await;
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

    /// Every run of a job's tasks that an executor has taken, in the order of their beginnings.
    pub fn runs(&self, id: &str) -> Vec<RunRecord> {
        let present = self.workers.iter();
        let present = present.flat_map(|worker| worker.executor.runs());
        let all = present.chain(self.former_runs.iter().cloned());
        let mut runs: Vec<_> = all.filter(|run| run.task.starts_with(id)).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }

    /// The names of all tasks that were started, with one entry a start.
    pub fn started(&self, id: &str) -> Vec<String> {
        let mut names: Vec<_> = self.runs(id).into_iter().map(|run| run.task).collect();
        names.sort();
        names
    }

    /// Fails if two runs of one task were at work at the same time, or one began after its task
    /// was done.
    pub fn assert_nothing_runs_twice(&self, id: &str) {
        let runs = self.runs(id);
        for (index, run) in runs.iter().enumerate() {
            let earlier = runs[..index].iter().filter(|other| other.task == run.task);
            for other in earlier {
                let (ended, how) = other.ended.unwrap_or((run.began, "still at work"));
                assert!(
                    ended <= run.began && !matches!(how, "done" | "still at work"),
                    "{} runs twice: {other:?} and {run:?}",
                    run.task
                );
            }
        }
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

/// Starts a front as a process and waits until it listens.
async fn start_process(ip: IpAddr, seeds: &[IpAddr], door: StoreDoor) -> Front {
    let callers = SocketAddr::new(ip, CALLER_PORT);
    let seeds = seeds.iter().map(|seed| format!("{seed}:{PEER_PORT}"));
    let text = format!(
        "[vm]\nname = front-{ip}\nip = {ip}\npeer_port = {PEER_PORT}\n\
         [listen]\ncallers = {callers}\nreadiness = {ip}:{READY_PORT}\n\
         [peers]\nseeds = {}\n[store]\naddress = {}\n\
         [limits]\nlongest_lease_ms = 6000\nkeep_ended_s = 120\ngrace_s = 6\n",
        seeds.collect::<Vec<_>>().join(", "),
        door.address(),
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("front-{ip}.ini"));
    std::fs::write(&path, text).expect("a file");
    let child = Command::new(env!("CARGO_BIN_EXE_rattanwinch-front"))
        .arg("--settings")
        .arg(path)
        .stdout(Stdio::null())
        .spawn();
    let asked = Instant::now();
    while tokio::net::TcpStream::connect(callers).await.is_err() {
        assert!(
            asked.elapsed() < Duration::from_secs(10),
            "{callers} isn't listened on"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Front {
        program: FrontProgram::Process(KilledOnDrop(child.expect("the front starts"))),
        door,
        callers,
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
        log_level: LogLevel::default(),
    }
}

/// A job of one step; `step` adds to it, or replaces what it says.
pub fn job_of(spec: &str, count: u32, step: &Value) -> Value {
    let mut phase = json!({ "count": count, "cpu": 1000, "mem_mb": 100, "gpu": 1 });
    if let (Some(phase), Some(step)) = (phase.as_object_mut(), step.as_object()) {
        phase.extend(step.clone());
    }
    json!({ "spec": spec, "phases": [phase] })
}

pub fn job(work_ms: u64, count: u32) -> Value {
    json!({
        "spec": format!("work_ms={work_ms}"),
        "phases": [{ "count": count, "cpu": 1000, "mem_mb": 100, "gpu": 1, "estimate_ms": work_ms }],
    })
}

fn config(options: SiteOptions) -> Value {
    let mut config = json!({
        "version": 1,
        "routes": [{
            "name": "checks", "host": HOST, "prefix": "/checks/", "kind": "unsafe",
            "timeout_ms": 3000, "priority": 1, "service": "design", "max_attempts": 3,
        }],
        "services": [{ "name": "design", "enforces_capacity": options.enforces_capacity }],
        "tenants": [
            { "name": "letrafa", "api_keys": [KEY], "guaranteed": { "gpu": 4 } },
            { "name": "gait", "api_keys": ["key-of-gait"] },
        ],
    });
    if let Some(times) = options.advisor {
        let millis = |time: Duration| u64::try_from(time.as_millis()).expect("a short time");
        config["routes"][0]["advisor"] = json!({
            "decide_ms": millis(times.base), "period_ms": millis(times.each),
            "validity_ms": millis(times.validity),
        });
    }
    config
}
