//! A small site: the project's own programs as processes, and stand-ins for all others.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::executor::Executor;
use crate::executor::RunLog;
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/jobs/";
pub const KEY: &str = "key-1";
pub const DEADLINE: Duration = Duration::from_secs(3);

type Result<T> = std::result::Result<T, String>;

/// A process of the project.
pub struct Process {
    pub name: String,
    program: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .map_err(|error| error.to_string())?;
        let child = Command::new(self.program)
            .env_clear()
            .env("RATTANWINCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.map_err(|error| format!("{}: {error}", self.program))?);
        Ok(())
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let kill = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &kill]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already needs no further end.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub logs: Arc<Mutex<Vec<RunLog>>>,
    pub executors: Vec<Arc<Executor>>,
    pub sides: Vec<Process>,
    pub fronts: Vec<Process>,
    pub callers: Vec<SocketAddr>,
    /// Ids of the jobs that were accepted.
    pub accepted: Mutex<Vec<String>>,
    folder: PathBuf,
}

fn ip(last: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, last as u8)
}

/// Finds a run of ports that are free on all addresses.
fn free_ports(addresses: &[Ipv4Addr]) -> Result<u16> {
    let seed = std::process::id() as u16 % 2000 * 10;
    for step in 0..100 {
        let base = 20_000 + (seed + step * 97 * 10) % 20_000;
        let free = addresses
            .iter()
            .all(|ip| (base..base + 6).all(|port| TcpListener::bind((*ip, port)).is_ok()));
        if free {
            return Ok(base);
        }
    }
    Err("no free ports".to_owned())
}

impl Site {
    /// Starts the stand-ins, then all processes of the project.
    pub fn start(record: Arc<Record>, fronts: usize, sides: usize) -> Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("rattanwinch-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let front_ips: Vec<_> = (0..fronts).map(|index| ip(11 + index)).collect();
        let side_ips: Vec<_> = (0..sides).map(|index| ip(31 + index)).collect();
        let all: Vec<_> = std::iter::once(ip(1))
            .chain(front_ips.clone())
            .chain(side_ips.clone())
            .collect();
        let base = free_ports(&all)?;
        let (peer, callers, ready, control, app) = (base, base + 2, base + 3, base + 4, base + 5);
        let store_address = SocketAddr::from((ip(1), app));
        let store = Arc::new(Store::default());
        store.put("op/config", &config(1));
        http::serve(store_address, Arc::clone(&store)).map_err(|error| error.to_string())?;
        let seeds: Vec<_> = front_ips
            .iter()
            .map(|ip| format!("{ip}:{control}"))
            .collect();
        let seeds = seeds.join(",");
        let common = |name: &str, ip: Ipv4Addr| {
            format!(
                "[vm]\nname = {name}\nip = {ip}\npeer_port = {peer}\n{}\n[peers]\nseeds = {seeds}\n\n\
                 [store]\naddress = {store_address}\n",
                if name.starts_with("front") {
                    "cpu_share = 0.25\n"
                } else {
                    ""
                }
            )
        };
        let mut site = Site {
            record,
            store,
            logs: Arc::default(),
            executors: Vec::new(),
            sides: Vec::new(),
            fronts: Vec::new(),
            callers: Vec::new(),
            accepted: Mutex::default(),
            folder,
        };
        for (index, &ip) in front_ips.iter().enumerate() {
            let name = format!("front-{}", index + 1);
            let text = format!(
                "{}\n[listen]\ncallers = {ip}:{callers}\nreadiness = {ip}:{ready}\n\n[advisor]\naddress =\n\n\
                 [machines]\naddress =\n\n[limits]\nlongest_lease_ms = 6000\nkeep_ended_s = 120\n\
                 reclaim_ms = 2700\nstop_ms = 200\ngrace_s = 6\n",
                common(&name, ip)
            );
            let process = site.process(name, "target/release/rattanwinch-front", &text)?;
            site.fronts.push(process);
            site.callers.push(SocketAddr::from((ip, callers)));
        }
        for (index, &ip) in side_ips.iter().enumerate() {
            let name = format!("side-{}", index + 1);
            let text = format!(
                "{}\n[listen]\nexecutor = {ip}:{control}\n\n[limits]\nlongest_lease_ms = 6000\n",
                common(&name, ip)
            );
            let process = site.process(name, "target/release/rattanwinch-side", &text)?;
            site.sides.push(process);
        }
        for process in site.fronts.iter_mut().chain(&mut site.sides) {
            process.start()?;
        }
        thread::sleep(Duration::from_millis(500));
        for (index, &ip) in side_ips.iter().enumerate() {
            let executor = Executor::start(
                format!("i-{}", index + 1),
                SocketAddr::from((ip, app)),
                SocketAddr::from((ip, control)),
                format!("zone-{}", index % 3 + 1),
                Arc::clone(&site.logs),
                Arc::clone(&site.record),
            );
            site.executors
                .push(executor.map_err(|error| error.to_string())?);
        }
        site.wait_until_ready()?;
        Ok(site)
    }

    fn process(&self, name: String, program: &'static str, settings: &str) -> Result<Process> {
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        Ok(Process {
            name,
            program,
            settings: path,
            child: None,
        })
    }

    /// Waits until jobs are served, and gives all targets time to report.
    fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let id = "00000000000000ff";
        while Instant::now() < until {
            let accepted = self.submit(0, id, 1, 1, 300) == Some(200);
            if accepted {
                let done = Instant::now() + Duration::from_secs(10);
                while Instant::now() < done {
                    if self.state(0, id).as_deref() == Some("completed") {
                        thread::sleep(Duration::from_secs(3));
                        self.record.line("the site is ready");
                        return Ok(());
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the site served no job".to_owned())
    }

    pub fn call(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Deadline-Ms", "3000"),
        ];
        http::call(self.callers[front], method, path, &headers, body, DEADLINE)
    }

    /// Submits a job of `count` tasks; returns the status.
    pub fn submit(
        &self,
        front: usize,
        id: &str,
        count: u32,
        gpu: u32,
        work_ms: u32,
    ) -> Option<u16> {
        let body = format!(
            "{{\"spec\":\"work_ms={work_ms}\",\"phases\":[{{\"count\":{count},\"cpu\":1000,\
             \"mem_mb\":1000,\"gpu\":{gpu},\"estimate_ms\":{work_ms}}}]}}"
        );
        let answer = self.call(front, "POST", &format!("{PREFIX}{id}"), &body);
        let status = answer.map(|(status, _)| status);
        self.record
            .line(&format!("POST {id} at front-{}: {status:?}", front + 1));
        if status == Some(200) {
            self.accepted.lock().unwrap().push(id.to_owned());
        }
        status
    }

    /// Evacuates a zone as the operator does; the store's answer is the confirmation.
    pub fn evacuate(&self, zone: &str) -> Instant {
        self.store.put(&format!("op/evacuate/{zone}"), "{}");
        self.record
            .line(&format!("the operator evacuates {zone}: confirmed"));
        Instant::now()
    }

    pub fn state(&self, front: usize, id: &str) -> Option<String> {
        let (status, body) = self.call(front, "GET", &format!("{PREFIX}{id}"), "")?;
        (status == 200).then(|| Json::parse(&body).get("state").text().to_owned())
    }

    pub fn pending(&self, front: usize) -> Option<u64> {
        let (status, body) = self.call(front, "GET", PREFIX, "")?;
        (status == 200).then(|| Json::parse(&body).get("pending").number())
    }

    /// Pairs of runs of one task that ran at the same time, on executors that were up.
    pub fn doubled(&self) -> Vec<String> {
        let logs = self.logs.lock().unwrap();
        let now = Instant::now();
        let mut found = Vec::new();
        for (index, one) in logs.iter().enumerate() {
            for other in logs
                .iter()
                .skip(index + 1)
                .filter(|other| other.task == one.task)
            {
                let from = one.from.max(other.from);
                let one_to = one.to.map_or(now, |(to, _)| to);
                let other_to = other.to.map_or(now, |(to, _)| to);
                let to = one_to.min(other_to);
                if from < to {
                    found.push(format!(
                        "{}: run {} on {} and run {} on {} at the same time for {} ms, from {:.3} s",
                        one.task,
                        one.run,
                        one.executor,
                        other.run,
                        other.executor,
                        (to - from).as_millis(),
                        self.record.at(from)
                    ));
                }
            }
        }
        found
    }

    /// True if a task of the job is running.
    pub fn is_running(&self, number: u32) -> bool {
        let id = format!("{number:016x}.");
        let logs = self.logs.lock().unwrap();
        logs.iter()
            .any(|log| log.task.starts_with(&id) && log.to.is_none())
    }

    /// True if a task of the job has started.
    pub fn has_begun(&self, number: u32) -> bool {
        let id = format!("{number:016x}.");
        self.logs
            .lock()
            .unwrap()
            .iter()
            .any(|log| log.task.starts_with(&id))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.fronts.clear();
        self.sides.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The operators' configuration: one queue, one tenant.
fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"jobs\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\
         \"service\":\"workers\",\"priority\":1,\"max_attempts\":4,\"stretch\":3.0,\"target_latency_ms\":1000}}],\
         \"services\":[{{\"name\":\"workers\",\"enforces_capacity\":false}}],\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"{KEY}\"],\"guaranteed\":{{\"gpu\":8}}}}],\
         \"limits\":{{}}}}"
    )
}
