mod bodies;
mod calls;
mod fronts;
mod logs;

pub use bodies::job;
pub use bodies::single_step_job;
pub use fronts::Front;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rattanwinch_front::FrontDaemon;
use rattanwinch_front::FrontSettings;
use rattanwinch_http_server::HttpLimits;
use rattanwinch_runtime::SiteDaemon as _;
use rattanwinch_side::SideDaemon;
use rattanwinch_side::SideSettings;
use rattanwinch_site_standins::AdvisorTiming;
use rattanwinch_site_standins::ExecutorOptions;
use rattanwinch_site_standins::RunRecord;
use rattanwinch_site_standins::SiteAdvisor;
use rattanwinch_site_standins::SiteExecutor;
use rattanwinch_site_standins::SiteGangs;
use rattanwinch_site_standins::SiteMachines;
use rattanwinch_site_standins::SiteStore;
use rattanwinch_site_standins::StoreEndpoint;
use serde_json::Value;
use serde_json::json;

use crate::harness::bodies::config;
use crate::harness::fronts::CALLER_PORT;
use crate::harness::fronts::FrontProgram;
use crate::harness::fronts::READY_PORT;
use crate::harness::fronts::start_process;
use crate::harness::fronts::vm_settings;
use crate::harness::logs::LogBuffer;

pub const KEY: &str = "key-of-letrafa";
pub const HOST: &str = "jobs.example";

const EXECUTOR_PORT: u16 = 8002;

/// Each site has its own /24 of the loopback range, so that all VMs can use the same ports.
fn next_subnet() -> u8 {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

pub struct Worker {
    /// Runs until the worker is dropped.
    daemon: SideDaemon,
    pub store_endpoint: StoreEndpoint,
    pub executor: SiteExecutor,
    options: ExecutorOptions,
}

/// Configuration of a site.
#[derive(Clone, Copy, Default)]
pub struct SiteOptions {
    pub fronts: u8,
    pub workers: u8,
    /// The first fronts with an eighth of a core; the others have a whole one.
    pub small_fronts: usize,
    /// Fronts are separate processes, so that they can be killed and frozen.
    pub front_processes: bool,
    /// Executors refuse starts beyond their capacity.
    pub enforces_capacity: bool,
    /// The queue's targets are chosen by an advisor.
    pub advisor: Option<AdvisorTiming>,
    /// Duration of each machine's upkeep; `None` for a site without a machine service.
    pub upkeep_duration: Option<Duration>,
}

pub struct Site {
    pub store: SiteStore,
    pub machines: Option<SiteMachines>,
    pub advisor: Option<SiteAdvisor>,
    pub fronts: Vec<Front>,
    pub workers: Vec<Worker>,
    options: SiteOptions,
    gangs: SiteGangs,
    /// Runs of removed executors.
    removed_worker_runs: Vec<RunRecord>,
    logs: Mutex<Vec<(String, LogBuffer)>>,
    http: reqwest::Client,
}

impl Worker {
    /// The executor's id.
    pub fn id(&self) -> &str {
        &self.options.id
    }

    /// Announces to the agent that the instance that started at this time leaves.
    pub async fn announce_departure(&self, started_at_ms: u64) {
        let agent = self.options.agent;
        let url = format!(
            "http://{agent}/rattanwinch/Instances.Leave/{}",
            self.options.id
        );
        let req = reqwest::Client::new()
            .post(url)
            .json(&json!({ "born": started_at_ms }));
        let answer = req.send().await.expect("the agent answers");
        assert!(answer.status().is_success(), "{answer:?}");
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
        let machines = match options.upkeep_duration {
            Some(upkeep_duration) => Some(SiteMachines::start(upkeep_duration).await),
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
            removed_worker_runs: Vec::new(),
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
        let store_endpoint = self.store.open().await;
        let front = if self.options.front_processes {
            start_process(ip, seeds, store_endpoint).await
        } else {
            self.start_daemon(ip, seeds, store_endpoint).await
        };
        self.fronts.push(front);
    }

    /// Starts a new process on the VM of a front that has ended.
    pub async fn restart_front(&mut self, front: usize) {
        let ended = self.fronts.remove(front);
        let ip = ended.callers.ip();
        let others = self.fronts.iter().map(|other| other.callers.ip());
        let seeds: Vec<_> = others.chain([ip]).collect();
        drop(ended.program);
        let started = start_process(ip, &seeds, ended.store_endpoint).await;
        self.fronts.insert(front, started);
    }

    async fn start_daemon(
        &self,
        ip: IpAddr,
        seeds: &[IpAddr],
        store_endpoint: StoreEndpoint,
    ) -> Front {
        let callers = SocketAddr::new(ip, CALLER_PORT);
        let settings = FrontSettings {
            vm: vm_settings(format!("front-{ip}"), ip, seeds, &store_endpoint),
            caller_listen: callers,
            ready_listen: SocketAddr::new(ip, READY_PORT),
            advisor: self.advisor.as_ref().map(SiteAdvisor::address),
            machines: self.machines.as_ref().map(SiteMachines::address),
            ended_job_retention: Duration::from_secs(120),
            grace: Duration::from_secs(6),
            cpu_share: if self.fronts.len() < self.options.small_fronts {
                0.125
            } else {
                1.0
            },
            reclaim_time: Duration::from_millis(2700),
            stop_time: Duration::from_millis(900),
            http: HttpLimits::default(),
        };
        let daemon = FrontDaemon::start(settings, self.logger("rattanwinch-front", ip))
            .await
            .expect("free ports");
        Front {
            program: FrontProgram::Daemon(daemon),
            store_endpoint,
            callers,
        }
    }

    async fn start_worker(&mut self, ip: IpAddr, seeds: &[IpAddr]) {
        let store_endpoint = self.store.open().await;
        let settings = SideSettings {
            vm: vm_settings(format!("side-{ip}"), ip, seeds, &store_endpoint),
            executor_listen: SocketAddr::new(ip, EXECUTOR_PORT),
            http: HttpLimits::default(),
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
            tickets: self.advisor.as_ref().map(SiteAdvisor::ticket_registry),
        };
        let daemon = SideDaemon::start(settings, self.logger("rattanwinch-side", ip))
            .await
            .expect("free ports");
        let executor = SiteExecutor::start(options.clone()).await;
        if let Some(machines) = &self.machines {
            machines.add_machine(&format!("m{}", self.workers.len()), &executor);
        }
        self.workers.push(Worker {
            daemon,
            store_endpoint,
            executor,
            options,
        });
    }

    /// Ends a worker's executor and starts another one with another id on its VM.
    pub async fn replace_executor(&mut self, worker: usize) {
        let mut worker = self.workers.remove(worker);
        self.removed_worker_runs
            .extend(worker.executor.crash().await);
        worker.options.id.push('x');
        worker.executor = SiteExecutor::start(worker.options.clone()).await;
        self.workers.push(worker);
    }

    /// Ends a worker's executor and agent at once, as when its VM loses power.
    pub async fn lose_worker(&mut self, worker: usize) {
        let worker = self.workers.remove(worker);
        worker.daemon.stop().await;
        self.removed_worker_runs
            .extend(worker.executor.crash().await);
    }

    /// All runs of a job's tasks that an executor accepted, by start time.
    pub fn runs(&self, id: &str) -> Vec<RunRecord> {
        let present = self.workers.iter();
        let present = present.flat_map(|worker| worker.executor.runs());
        let all = present.chain(self.removed_worker_runs.iter().cloned());
        let mut runs: Vec<_> = all.filter(|run| run.task.starts_with(id)).collect();
        runs.sort_by_key(|run| run.started_at);
        runs
    }

    /// Names of all started tasks, with one entry per start.
    pub fn started(&self, id: &str) -> Vec<String> {
        let mut names: Vec<_> = self.runs(id).into_iter().map(|run| run.task).collect();
        names.sort();
        names
    }

    /// Fails if two runs of one task overlapped, or one started after its task was done.
    pub fn assert_no_task_ran_twice(&self, id: &str) {
        let runs = self.runs(id);
        for (index, run) in runs.iter().enumerate() {
            let earlier = runs[..index].iter().filter(|other| other.task == run.task);
            for other in earlier {
                let (ended, how) = other.ended.unwrap_or((run.started_at, "still at work"));
                assert!(
                    ended <= run.started_at && !matches!(how, "done" | "still at work"),
                    "{} runs twice: {other:?} and {run:?}",
                    run.task
                );
            }
        }
    }

    /// Writes a new version of the configuration.
    pub fn change_config(&self, change: impl FnOnce(&mut Value)) {
        let config = self.store.value("op/config").expect("a configuration");
        let mut config: Value = serde_json::from_slice(&config).expect("JSON");
        let version = config["version"].as_u64().expect("a version");
        config["version"] = json!(version + 1);
        change(&mut config);
        self.store.put("op/config", &config);
    }

    /// Writes a new version of the configuration without the first organisation's API keys.
    pub fn revoke_api_keys(&self) {
        self.change_config(|config| config["tenants"][0]["api_keys"] = json!([]));
    }

    /// Index of the front named by the leader record.
    pub fn leader_index(&self) -> usize {
        let record = self
            .store
            .value("rattanwinch/leader")
            .expect("a front schedules");
        let record: Value = serde_json::from_slice(&record).expect("a record");
        let address: SocketAddr = record["address"]
            .as_str()
            .expect("an address")
            .parse()
            .expect("an address");
        let front = self
            .fronts
            .iter()
            .position(|front| front.callers.ip() == address.ip());
        front.expect("a front of the site")
    }
}
