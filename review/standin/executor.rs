//! An executor: it runs what its agent tells it to, as the page on running tasks says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Service;
use crate::json::Json;
use crate::json::quote;
use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1500);
const MAX_LEASE_MS: u64 = 6000;
/// How long a stop takes; at most 200 ms by the site file.
const STOP: Duration = Duration::from_millis(150);

/// What the executors of a site have run.
#[derive(Clone, Debug)]
pub struct RunLog {
    pub executor: String,
    pub zone: String,
    pub task: String,
    pub run: u64,
    pub from: Instant,
    pub to: Option<(Instant, &'static str)>,
}

#[derive(Debug)]
struct Run {
    number: u64,
    from: Instant,
    ends_at: Instant,
    stops_at: Option<Instant>,
    log: usize,
}

#[derive(Debug)]
struct State {
    born_ms: u64,
    born: Instant,
    up: bool,
    cut: bool,
    /// New requests are reset.
    resetting: bool,
    draining: bool,
    sequence: u64,
    /// Connections opened before the last crash have a lower number.
    connection: u64,
    first_connection: u64,
    lease_ms: u64,
    fence: u64,
    running: BTreeMap<String, Run>,
    finished: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    agent: SocketAddr,
    pub zone: String,
    state: Mutex<State>,
    changed: Condvar,
    logs: Arc<Mutex<Vec<RunLog>>>,
    record: Arc<Record>,
}

impl Run {
    /// The progress in per cent.
    fn percent(&self, now: Instant) -> u64 {
        let work = (self.ends_at - self.from).as_millis();
        let done = now.saturating_duration_since(self.from).as_millis();
        (done * 100 / work.max(1)).min(99) as u64
    }
}

fn unix_ms() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64
}

impl State {
    fn new() -> Self {
        State {
            born_ms: unix_ms(),
            born: Instant::now(),
            up: true,
            cut: false,
            resetting: false,
            draining: false,
            sequence: 0,
            connection: 0,
            first_connection: 0,
            lease_ms: 0,
            fence: 0,
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }
}

impl Executor {
    pub fn start(
        id: String,
        address: SocketAddr,
        agent: SocketAddr,
        zone: String,
        logs: Arc<Mutex<Vec<RunLog>>>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let state = Mutex::new(State::new());
        let changed = Condvar::new();
        let executor = Arc::new(Executor {
            id,
            address,
            agent,
            zone,
            state,
            changed,
            logs,
            record,
        });
        http::serve(address, Arc::clone(&executor))?;
        let beating = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        let ticking = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(Duration::from_millis(5));
            }
        });
        Ok(executor)
    }

    /// Sends a heartbeat.
    pub fn beat(&self) {
        let body = {
            let mut state = self.state.lock().unwrap();
            if !state.up || state.cut {
                return;
            }
            state.sequence += 1;
            format!(
                "{{\"service\":\"workers\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"{}\",\"cold_remaining_ms\":0,\
                 \"capacity\":{{\"cpu\":64000,\"mem_mb\":262144,\"gpu\":8}},\
                 \"labels\":[\"a\",\"r1\"],\"clock_ms\":{},\"seq\":{},\"born\":{}}}",
                self.address,
                self.zone,
                if state.draining { "draining" } else { "ready" },
                state.clock_ms(),
                state.sequence,
                state.born_ms
            )
        };
        let path = format!("/rattanwinch/Instances.Heartbeat/{}", self.id);
        // A heartbeat without an answer is followed by the next one.
        let _ = http::call(
            self.agent,
            "POST",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
    }

    /// Announces the draining state at once and with each heartbeat.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        self.record
            .line(&format!("{} says that it drains", self.id));
        self.beat();
    }

    /// Says that it leaves; true if that was confirmed within a second.
    pub fn leave(&self) -> bool {
        let born = self.state.lock().unwrap().born_ms;
        let path = format!("/rattanwinch/Instances.Leave/{}", self.id);
        let body = format!("{{\"born\":{born}}}");
        self.record.line(&format!("{} sends Leave", self.id));
        let answer = http::call(
            self.agent,
            "POST",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
        let confirmed = answer.is_some_and(|(status, _)| status / 100 == 2);
        self.record.line(&format!(
            "{}: Leave {}",
            self.id,
            if confirmed {
                "confirmed"
            } else {
                "not confirmed within 1 s"
            }
        ));
        confirmed
    }

    /// Cuts the executor off from its agent, or ends the cut.
    pub fn set_cut(&self, cut: bool) {
        self.state.lock().unwrap().cut = cut;
        self.changed.notify_all();
        self.record.line(&format!(
            "{} {}",
            self.id,
            if cut {
                "is cut off"
            } else {
                "is reachable again"
            }
        ));
    }

    /// Resets all new requests, or stops doing so; heartbeats go on.
    pub fn set_resetting(&self, resetting: bool) {
        self.state.lock().unwrap().resetting = resetting;
        let what = if resetting {
            "resets all requests"
        } else {
            "answers requests again"
        };
        self.record.line(&format!("{} {what}", self.id));
    }

    /// Ends the executor and all that it runs.
    pub fn end(&self, how: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        state.first_connection = state.connection + 1;
        let now = Instant::now();
        let mut logs = self.logs.lock().unwrap();
        for run in state.running.values() {
            logs[run.log].to = Some((now, how));
        }
        state.running.clear();
        drop(state);
        self.changed.notify_all();
        self.record.line(&format!("{} has ended ({how})", self.id));
    }

    /// Starts again under the same id, without any former state.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        let (connection, cut) = (state.connection, state.cut);
        *state = State::new();
        state.connection = connection;
        state.first_connection = connection + 1;
        state.cut = cut;
        let born = state.born_ms;
        drop(state);
        self.record
            .line(&format!("{} has started again, born {born}", self.id));
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    fn finish(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        let highest = state.finished.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.number);
        let number = state.next_end;
        state.ended.push((number, task.to_owned(), run.number, how));
        state.next_end += 1;
        self.logs.lock().unwrap()[run.log].to = Some((Instant::now(), how));
        self.record.line(&format!(
            "{}: {task} run {} ended {how}",
            self.id, run.number
        ));
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let lapsed = state.clock_ms() > state.lease_ms;
        let ends: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = if run.ends_at <= now {
                    "done"
                } else if run.stops_at.is_some_and(|at| at <= now) {
                    "stopped"
                } else if lapsed {
                    "lapsed"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in &ends {
            self.finish(&mut state, task, how);
        }
        drop(state);
        if !ends.is_empty() {
            self.changed.notify_all();
        }
    }

    fn refuse(state: &State, reason: &str) -> (u16, String) {
        let clock = state.clock_ms();
        (
            409,
            format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
        )
    }

    fn start_run(&self, req: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let task = req.get("task").text().to_owned();
        let number = req.get("run").number();
        let clock = state.clock_ms();
        let accepted = (200, format!("{{\"clock_ms\":{clock}}}"));
        if req.get("fence").number() < state.fence {
            return Self::refuse(&state, "fence");
        }
        state.fence = req.get("fence").number();
        let until = req.get("until_ms").number().min(clock + MAX_LEASE_MS);
        if until < clock {
            return Self::refuse(&state, "late");
        }
        state.lease_ms = state.lease_ms.max(until);
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return accepted;
        }
        if state
            .finished
            .get(&task)
            .is_some_and(|highest| number <= *highest)
        {
            return Self::refuse(&state, "old");
        }
        let spec = req.get("spec").text();
        let work = spec
            .strip_prefix("work_ms=")
            .and_then(|text| text.parse().ok());
        let from = Instant::now();
        let mut logs = self.logs.lock().unwrap();
        logs.push(RunLog {
            executor: self.id.clone(),
            zone: self.zone.clone(),
            task: task.clone(),
            run: number,
            from,
            to: None,
        });
        let run = Run {
            number,
            from,
            ends_at: from + Duration::from_millis(work.unwrap_or(1000)),
            stops_at: None,
            log: logs.len() - 1,
        };
        drop(logs);
        self.record.line(&format!(
            "{} (born {}): {task} run {number} starts",
            self.id, state.born_ms
        ));
        state.running.insert(task, run);
        accepted
    }

    fn stop_run(&self, req: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let task = req.get("task").text().to_owned();
        let number = req.get("run").number();
        if req.get("fence").number() < state.fence {
            return Self::refuse(&state, "fence");
        }
        state.fence = req.get("fence").number();
        match state.running.get_mut(&task) {
            Some(run) if run.number <= number => {
                run.stops_at.get_or_insert(Instant::now() + STOP);
                self.record
                    .line(&format!("{}: {task} run {number} is told to stop", self.id));
            }
            _ => {
                let highest = state.finished.entry(task).or_default();
                *highest = (*highest).max(number);
            }
        }
        (200, format!("{{\"clock_ms\":{}}}", state.clock_ms()))
    }

    fn hold(&self, req: &Json) -> (u16, String) {
        let wait = Duration::from_millis(req.get("wait_ms").number().min(2000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if req.get("fence").number() < state.fence {
            return Self::refuse(&state, "fence");
        }
        state.fence = req.get("fence").number();
        let acked = req.get("acked_upto").number();
        state.ended.retain(|(number, ..)| *number > acked);
        let clock = state.clock_ms();
        let lease = req.get("until_ms").number().min(clock + MAX_LEASE_MS);
        state.lease_ms = state.lease_ms.max(lease);
        let born = state.born_ms;
        while state.ended.is_empty() && state.born_ms == born && state.up {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let now = Instant::now();
        let running = state.running.iter().map(|(task, run)| {
            let percent = run.percent(now);
            format!("[{},{},\"\",{percent}]", quote(task), run.number)
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ended = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
            });
        let ended = ended.collect::<Vec<_>>().join(",");
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{running}],\"ended\":[{ended}]}}",
            state.clock_ms(),
            state.born_ms
        );
        (200, body)
    }
}

impl Service for Executor {
    fn accepted(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.connection += 1;
        state.connection
    }

    /// A partition holds back requests; they are lost if their connection was closed meanwhile, or
    /// if the executor that accepted it has crashed.
    fn admit(&self, connection: u64, stream: &TcpStream) -> bool {
        let mut state = self.state.lock().unwrap();
        while state.cut {
            state = self.changed.wait(state).unwrap();
        }
        if !state.up || state.resetting || connection < state.first_connection {
            return false;
        }
        drop(state);
        // Reads nothing: a closed connection shows as an end without data.
        if stream.set_nonblocking(true).is_err() {
            return false;
        }
        let mut byte = [0_u8; 1];
        let closed = matches!(stream.peek(&mut byte), Ok(0));
        stream.set_nonblocking(false).is_ok() && !closed
    }

    fn answer(&self, req: &Request) -> Reply {
        if req
            .header("Target-Instance")
            .is_some_and(|id| id != self.id)
        {
            return Reply::Answer(421, "{}".to_owned());
        }
        let body = Json::parse(&req.body);
        let (status, body) = match req.path.as_str() {
            "/rattanwinch/run-start" => self.start_run(&body),
            "/rattanwinch/run-stop" => self.stop_run(&body),
            "/rattanwinch/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        };
        let mut state = self.state.lock().unwrap();
        // Answers are lost in a partition, which is silent, or with the executor.
        let lost = state.cut || !state.up;
        while state.cut {
            state = self.changed.wait(state).unwrap();
        }
        drop(state);
        if lost {
            Reply::Close
        } else {
            Reply::Answer(status, body)
        }
    }
}
