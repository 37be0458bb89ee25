//! An executor beside an agent, as PROTOCOL.md describes it. Its tasks only take time; the job's
//! `spec` says how long: `work_ms=N`, and with `fail_runs=N` the first N runs fail at their end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record;

/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// A ping is confirmed by an answer within a second.
const CONFIRMATION: Duration = Duration::from_secs(1);

/// `hold_max_ms` of the sites.
const MAX_LEASE_MS: u64 = 6000;

/// Most ends that one answer lists.
const LISTED_ENDS: usize = 500;

pub const ACCELERATORS: u64 = 8;
pub const CPU: u64 = 64_000;

/// One run as the executor saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub executor: String,
    pub task: String,
    pub number: u64,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// The number of its end.
    pub end_sequence: u64,
}

struct Work {
    time: Duration,
    fails: bool,
}

struct State {
    born: Instant,
    born_ms: u64,
    fence: u64,
    lease_ms: u64,
    /// Running tasks, with the index of their run in `runs`.
    running: BTreeMap<String, (usize, Work)>,
    /// The highest run of each task that was stopped or has ended.
    finished: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Ends up to this number have been listed.
    listed: u64,
    /// Ends up to this number have been acknowledged.
    acknowledged: u64,
    /// The lease has run out at some time since the first start.
    has_lapsed: bool,
    /// Number of the last ping.
    pings: u64,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Executor {
    pub id: String,
    address: SocketAddr,
    agent: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn word(spec: &str, name: &str) -> u64 {
    let mut words = spec.split_whitespace();
    let found = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    found.and_then(|value| value.parse().ok()).unwrap_or(0)
}

impl Executor {
    /// Starts an executor that sends its pings to `agent`.
    pub fn start(id: &str, agent: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let state = State {
            born: Instant::now(),
            born_ms: unix.as_millis() as u64,
            fence: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            listed: 0,
            acknowledged: 0,
            has_lapsed: false,
            pings: 0,
            runs: Vec::new(),
        };
        let executor = Self {
            id: id.to_owned(),
            address,
            agent,
            state: Arc::new(Mutex::new(state)),
        };
        let served = executor.clone();
        http::serve(listener, move |req| served.handle(req));
        let clock = executor.clone();
        thread::spawn(move || {
            loop {
                clock.state.lock().unwrap().advance();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let pings = executor.clone();
        thread::spawn(move || {
            loop {
                pings.ping();
                thread::sleep(HEARTBEAT);
            }
        });
        executor
    }

    pub fn runs(&self) -> Vec<Run> {
        let mut state = self.state.lock().unwrap();
        state.advance();
        state.runs.clone()
    }

    fn ping(&self) {
        let mut state = self.state.lock().unwrap();
        state.pings += 1;
        let capacity = object([
            ("cpu", number(CPU)),
            ("mem_mb", number(262_144)),
            ("gpu", number(ACCELERATORS)),
        ]);
        let body = object([
            ("service", text("workers")),
            ("addr", text(self.address.to_string())),
            ("zone", text("az-1")),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold_remaining_ms", number(0)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text("a"), text("r1")])),
            ("clock_ms", number(state.clock_ms())),
            ("seq", number(state.pings)),
            ("born", number(state.born_ms)),
        ]);
        drop(state);
        let path = format!("/rattanwinch/Instances.Heartbeat/{}", self.id);
        // A ping without a confirmation is followed by the next one.
        let _ = http::call(
            self.agent,
            "POST",
            &path,
            &[],
            &body.to_string(),
            CONFIRMATION,
        );
    }

    /// The highest end that has been acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.state.lock().unwrap().acknowledged
    }

    pub fn has_lapsed(&self) -> bool {
        self.state.lock().unwrap().has_lapsed
    }

    fn handle(&self, req: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.advance();
        let call = req.path.trim_start_matches("/rattanwinch/");
        match call {
            "run-start" => {
                let (status, body) = state.start(&self.id, &req.body);
                let task = req.body.get("task").text();
                let run = req.body.get("run").number();
                record!("{} start {task} run {run}: {status} {body}", self.id);
                (status, body)
            }
            "run-stop" => {
                let (status, body) = state.stop(&req.body);
                let task = req.body.get("task").text();
                let run = req.body.get("run").number();
                record!("{} stop {task} run {run}: {status}", self.id);
                (status, body)
            }
            "hold" => {
                drop(state);
                self.hold(&req.body)
            }
            _ => (404, object([])),
        }
    }

    fn hold(&self, req: &Json) -> Reply {
        let asked_at = Instant::now();
        let wait = Duration::from_millis(req.get("wait_ms").number().min(2000));
        {
            let mut state = self.state.lock().unwrap();
            if !state.accept_fence(req) {
                return state.refuse("fence");
            }
            let acked = req.get("acked_upto").number();
            state.acknowledged = state.acknowledged.max(acked);
            state.ended.retain(|(sequence, ..)| *sequence > acked);
            state.extend_lease(req.get("until_ms").number());
        }
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.advance();
                let last = state.ended.iter().take(LISTED_ENDS).last();
                let last = last.map_or(0, |(sequence, ..)| *sequence);
                if last > state.listed || asked_at.elapsed() >= wait {
                    state.listed = state.listed.max(last);
                    return (200, state.lists());
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    fn accept_fence(&mut self, req: &Json) -> bool {
        let fence = req.get("fence").number();
        let accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        accepted
    }

    fn extend_lease(&mut self, until_ms: u64) {
        let latest = self.clock_ms() + MAX_LEASE_MS;
        self.lease_ms = self.lease_ms.max(until_ms.min(latest));
    }

    fn refuse(&self, reason: &str) -> Reply {
        (409, self.refusal(reason))
    }

    fn refusal(&self, reason: &str) -> Json {
        object([
            ("clock_ms", number(self.clock_ms())),
            ("reason", text(reason)),
        ])
    }

    fn accepted(&self) -> (u16, Json) {
        (200, object([("clock_ms", number(self.clock_ms()))]))
    }

    /// Ends what is finished, and everything if the lease has run out.
    fn advance(&mut self) {
        let lapsed = self.clock_ms() > self.lease_ms;
        self.has_lapsed |= lapsed && !self.runs.is_empty();
        let over: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, (index, work))| {
                let worked = self.runs[*index].started.elapsed();
                let end = if work.fails { "failed" } else { "done" };
                let ended = (worked >= work.time).then_some(end);
                Some((task.clone(), ended.or(lapsed.then_some("lapsed"))?))
            })
            .collect();
        for (task, how) in over {
            self.end_run(&task, how);
        }
    }

    fn end_run(&mut self, task: &str, how: &'static str) {
        let Some((index, _)) = self.running.remove(task) else {
            return;
        };
        let run = &mut self.runs[index];
        run.ended = Some((Instant::now(), how));
        record!("{} {task} run {} ended {how}", run.executor, run.number);
        let number = run.number;
        let finished = self.finished.entry(task.to_owned()).or_default();
        *finished = number.max(*finished);
        self.ends += 1;
        self.runs[index].end_sequence = self.ends;
        self.ended.push((self.ends, task.to_owned(), number, how));
    }

    fn start(&mut self, id: &str, req: &Json) -> (u16, Json) {
        let task = req.get("task").text().to_owned();
        let run = req.get("run").number();
        let until_ms = req.get("until_ms").number();
        if !self.accept_fence(req) {
            return (409, self.refusal("fence"));
        }
        if until_ms < self.clock_ms() {
            return (409, self.refusal("late"));
        }
        self.extend_lease(until_ms);
        if let Some((index, _)) = self.running.get(&task)
            && self.runs[*index].number == run
        {
            return self.accepted();
        }
        if self
            .finished
            .get(&task)
            .is_some_and(|finished| run <= *finished)
        {
            return (409, self.refusal("old"));
        }
        let spec = req.get("spec").text();
        let work = Work {
            time: Duration::from_millis(word(spec, "work_ms")),
            fails: run <= word(spec, "fail_runs"),
        };
        self.running.insert(task.clone(), (self.runs.len(), work));
        self.runs.push(Run {
            executor: id.to_owned(),
            task,
            number: run,
            started: Instant::now(),
            ended: None,
            end_sequence: 0,
        });
        self.accepted()
    }

    fn stop(&mut self, req: &Json) -> (u16, Json) {
        let task = req.get("task").text().to_owned();
        let run = req.get("run").number();
        if !self.accept_fence(req) {
            return (409, self.refusal("fence"));
        }
        let present = self.running.get(&task);
        if present.is_some_and(|(index, _)| self.runs[*index].number <= run) {
            self.end_run(&task, "stopped");
        }
        let finished = self.finished.entry(task).or_default();
        *finished = run.max(*finished);
        self.accepted()
    }

    fn lists(&self) -> Json {
        let running = self.running.iter().map(|(task, (index, work))| {
            let run = &self.runs[*index];
            let percent = run.started.elapsed().as_millis() * 100 / work.time.as_millis().max(1);
            Json::List(vec![
                text(&**task),
                number(run.number),
                text(""),
                number(percent.min(100) as u64),
                number(0),
            ])
        });
        let ended = self.ended.iter().take(LISTED_ENDS);
        let ended = ended.map(|(sequence, task, run, how)| {
            let row = [
                number(*sequence),
                text(&**task),
                number(*run),
                text(*how),
                text(""),
            ];
            Json::List(row.into())
        });
        object([
            ("clock_ms", number(self.clock_ms())),
            ("born", number(self.born_ms)),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ])
    }
}
