//! A small site: the project's programs as processes, the store, and clients.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;

use crate::http;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record;
use crate::store::Store;

pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/jobs/";
/// Prefix of the queue of lower priority.
pub const BATCH_PREFIX: &str = "/batch/";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
pub const SECOND_KEY: &str = "3hh2b9wu3fexd9dnn2ct";

/// The deadline that consumers state, as on the sheets of the sites.
pub const DEADLINE: Duration = Duration::from_millis(3000);

/// The processes that run, by id; the watchdog ends them if a case takes too long.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of the site.
pub fn end_processes() {
    for id in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: the call only sends a signal, to a child that has not been waited for.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

/// A process of the site. It is ended when it is dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        record!("{} gets signal {signal}", self.name);
        // SAFETY: the call only sends a signal, to a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Front {
    pub callers: SocketAddr,
    settings: PathBuf,
}

pub struct Side {
    pub control: SocketAddr,
    settings: PathBuf,
}

/// Places and settings of a site; the processes are started by the cases.
pub struct Site {
    pub store: Store,
    pub fronts: Vec<Front>,
    pub sides: Vec<Side>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ports that are free on an address of each process.
const PEER_PORT: u16 = 7000;
const METRICS_PORT: u16 = 7001;
const CALLER_PORT: u16 = 8521;
const READY_PORT: u16 = 8523;
const CONTROL_PORT: u16 = 8526;

fn is_free(ip: &str) -> bool {
    let ports = [
        PEER_PORT,
        METRICS_PORT,
        CALLER_PORT,
        READY_PORT,
        CONTROL_PORT,
    ];
    ports
        .iter()
        .all(|port| TcpListener::bind(format!("{ip}:{port}")).is_ok())
}

/// Loopback addresses on which the ports of a site are free.
fn free_addresses(count: usize) -> io::Result<Vec<String>> {
    let first = std::process::id();
    for block in 0..200 {
        let block = first.wrapping_add(block * 7) % 60_000;
        let ips: Vec<String> = (0..count)
            .map(|host| format!("127.{}.{}.{}", 1 + block / 250, block % 250, host + 11))
            .collect();
        if ips.iter().all(|ip| is_free(ip)) {
            return Ok(ips);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

impl Site {
    /// Prepares a site with a front for each share of a core.
    pub fn new(front_shares: &[f64], sides: usize) -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("rattanwinch-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::new();
        let ips = free_addresses(front_shares.len() + sides)?;
        let (front_ips, side_ips) = ips.split_at(front_shares.len());
        let seeds = front_ips.iter().map(|ip| format!("{ip}:{CONTROL_PORT}"));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let mut site = Self {
            store,
            fronts: Vec::new(),
            sides: Vec::new(),
            folder,
        };
        for (index, (ip, share)) in front_ips.iter().zip(front_shares).enumerate() {
            let store = site.store.open();
            let settings = site.folder.join(format!("front-{}.ini", index + 1));
            let body = format!(
                "[vm]\nname = front-{}\nip = {ip}\npeer_port = {PEER_PORT}\ncpu_share = {share}\n\n\
                 [listen]\ncallers = {ip}:{CALLER_PORT}\nreadiness = {ip}:{READY_PORT}\n\n\
                 [peers]\nseeds = {seeds}\n\n[store]\naddress = {store}\n\n\
                 [advisor]\naddress =\n\n[machines]\naddress =\n\n\
                 [limits]\nlongest_lease_ms = 6000\nkeep_ended_s = 120\nreclaim_ms = 2700\n\
                 stop_ms = 200\ngrace_s = 6\n",
                index + 1
            );
            std::fs::write(&settings, body)?;
            site.fronts.push(Front {
                callers: format!("{ip}:{CALLER_PORT}")
                    .parse()
                    .map_err(io::Error::other)?,
                settings,
            });
        }
        for (index, ip) in side_ips.iter().enumerate() {
            let store = site.store.open();
            let settings = site.folder.join(format!("side-{}.ini", index + 1));
            let body = format!(
                "[vm]\nname = side-{}\nip = {ip}\npeer_port = {PEER_PORT}\n\n\
                 [listen]\nexecutor = {ip}:{CONTROL_PORT}\n\n[peers]\nseeds = {seeds}\n\n\
                 [store]\naddress = {store}\n\n[limits]\nlongest_lease_ms = 6000\n",
                index + 1
            );
            std::fs::write(&settings, body)?;
            site.sides.push(Side {
                control: format!("{ip}:{CONTROL_PORT}")
                    .parse()
                    .map_err(io::Error::other)?,
                settings,
            });
        }
        site.store.put("op/config", &config(1, &[KEY, SECOND_KEY]));
        Ok(site)
    }

    pub fn start_front(&self, index: usize) -> io::Result<Process> {
        let name = format!("front-{}", index + 1);
        start(
            "target/release/rattanwinch-front",
            name,
            &self.fronts[index].settings,
        )
    }

    pub fn start_side(&self, index: usize) -> io::Result<Process> {
        let name = format!("side-{}", index + 1);
        start(
            "target/release/rattanwinch-side",
            name,
            &self.sides[index].settings,
        )
    }

    /// Sends a call of a consumer; the status of the answer, `None` if there was none in time.
    pub fn call(
        &self,
        front: usize,
        method: &str,
        id: &str,
        body: &str,
        deadline: Duration,
    ) -> Option<(u16, Json)> {
        call(self.fronts[front].callers, method, id, KEY, body, deadline)
    }

    /// Sends a submission again until it is accepted.
    pub fn submit(&self, front: usize, id: &str, job: &str) -> bool {
        for _ in 0..20 {
            let answer = self.call(front, "POST", id, job, DEADLINE);
            if matches!(answer, Some((200, _))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }
}

/// The program's log of a run, beside its record, where the environment asks for it.
fn log_file(name: &str) -> Stdio {
    let folder = std::env::var("REVIEW_LOGS").ok();
    let file = folder.and_then(|folder| {
        let path = Path::new(&folder).join(format!("{name}.log"));
        std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .ok()
    });
    file.map_or_else(Stdio::null, Stdio::from)
}

fn start(program: &str, name: String, settings: &Path) -> io::Result<Process> {
    record!("{name} is started");
    let child = Command::new(program)
        .env_clear()
        .env("RATTANWINCH_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log_file(&name))
        .stderr(log_file(&name))
        .spawn()?;
    RUNNING.lock().unwrap().push(child.id());
    Ok(Process { name, child })
}

/// Sends a call of a consumer with a key, and records it with its answer.
pub fn call(
    front: SocketAddr,
    method: &str,
    id: &str,
    key: &str,
    body: &str,
    deadline: Duration,
) -> Option<(u16, Json)> {
    // An id that begins with a slash is the whole path.
    let path = if id.starts_with('/') {
        id.to_owned()
    } else {
        format!("{PREFIX}{id}")
    };
    let authorization = format!("Bearer {key}");
    let deadline_ms = deadline.as_millis().to_string();
    let headers = [
        ("host", HOST),
        ("authorization", authorization.as_str()),
        ("deadline-ms", deadline_ms.as_str()),
    ];
    record!("client: {method} {path}");
    let answer = http::call(front, method, &path, &headers, body, deadline);
    match &answer {
        Some((status, body)) => record!("client: {method} {path} answered {status} {body}"),
        None => record!("client: {method} {path} got no answer"),
    }
    answer
}

fn queue(name: &str, prefix: &str, priority: u64) -> Json {
    object([
        ("name", text(name)),
        ("host", text(HOST)),
        ("prefix", text(prefix)),
        ("kind", text("unsafe")),
        ("timeout_ms", number(3000)),
        ("target_latency_ms", number(3000)),
        ("priority", number(priority)),
        ("service", text("workers")),
        ("max_attempts", number(4)),
        ("stretch", number(3)),
        ("public", Json::Bool(false)),
    ])
}

/// The manifest with two queues and one tenant that has these keys.
pub fn config(version: u64, keys: &[&str]) -> Json {
    config_of(version, &[("kaje80", keys)])
}

/// The manifest with a further tenant.
pub fn config_with_tenant(version: u64, name: &str) -> Json {
    config_of(
        version,
        &[
            ("kaje80", &[KEY, SECOND_KEY]),
            (name, &["9t2m4x0c8vq1nw6zj5bk"]),
        ],
    )
}

fn config_of(version: u64, tenants: &[(&str, &[&str])]) -> Json {
    let service = object([
        ("name", text("workers")),
        ("max_conns", number(64)),
        ("enforces_capacity", Json::Bool(false)),
    ]);
    let queues = vec![
        queue("r-jobs", PREFIX, 1),
        queue("r-batch", BATCH_PREFIX, 2),
    ];
    let tenants = tenants.iter().map(|(name, keys)| {
        let keys = keys.iter().map(|key| text(*key)).collect();
        object([
            ("name", text(*name)),
            ("api_keys", Json::List(keys)),
            ("guaranteed", object([("gpu", number(0))])),
        ])
    });
    object([
        ("version", number(version)),
        ("routes", Json::List(queues)),
        ("services", Json::List(vec![service])),
        ("tenants", Json::List(tenants.collect())),
    ])
}

/// A job of one step.
pub fn job(spec: &str, count: u64, cpu: u64, gpu: u64, estimate_ms: u64, more: &str) -> String {
    let more = if more.is_empty() {
        String::new()
    } else {
        format!(",{more}")
    };
    format!(
        r#"{{"spec":"{spec}","phases":[{{"count":{count},"cpu":{cpu},"gpu":{gpu},"mem_mb":64,"estimate_ms":{estimate_ms}{more}}}]}}"#
    )
}
