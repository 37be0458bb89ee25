use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use poem::EndpointExt as _;
use poem::IntoResponse as _;
use poem::Response;
use poem::Route;
use poem::Server;
use poem::handler;
use poem::http::StatusCode;
use poem::listener::Acceptor as _;
use poem::listener::Listener as _;
use poem::listener::TcpListener;
use poem::post;
use poem::web::Data;
use poem::web::Json;
use rattanwinch_runtime::Clock;
use rattanwinch_runtime::Shutdown;
use rattanwinch_targets::WireRequest;
use rattanwinch_targets::WireResponse;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Answer;
use rattanwinch_types::Timestamp;
use tokio::sync::Semaphore;

use super::SimulatedWork;
use super::TaskRun;
use super::task_routes::TaskService;
use super::task_routes::task_routes;

/// The state that the route for plain requests and the control methods share.
struct ExecutorState {
    clock: Clock,
    slots: Semaphore,
    fail_all: AtomicBool,
    started: AtomicU64,
    runs: Mutex<Vec<String>>,
}

/// A simulated executor with slots and 8 accelerators behind the HTTP API of
/// `docs/executor-api.md`.
pub struct StandinExecutor {
    address: SocketAddr,
    state: Arc<ExecutorState>,
    tasks: Arc<TaskService>,
    shutdown: Shutdown,
}

impl fmt::Debug for StandinExecutor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StandinExecutor")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl StandinExecutor {
    /// Starts an executor that listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address cannot be bound.
    ///
    /// # Panics
    ///
    /// Never: a TCP listener has a TCP address.
    pub async fn start(address: SocketAddr, slots: usize) -> io::Result<Self> {
        let state = Arc::new(ExecutorState {
            clock: Clock::start(),
            slots: Semaphore::new(slots),
            fail_all: AtomicBool::new(false),
            started: AtomicU64::new(0),
            runs: Mutex::new(Vec::new()),
        });
        let tasks = Arc::new(TaskService::new());
        let acceptor = TcpListener::bind(address).into_acceptor().await?;
        let local = acceptor.local_addr();
        let address = local
            .iter()
            .find_map(|local| local.as_socket_addr().copied());
        let address = address.expect("a TCP listener has a TCP address");
        let app = task_routes(Route::new().at("/v1/requests", post(run_request)))
            .data(Arc::clone(&state))
            .data(Arc::clone(&tasks));
        let shutdown = Shutdown::new();
        let stop = shutdown.clone();
        shutdown.spawn(async move {
            let server = Server::new_with_acceptor(acceptor);
            let stopped = async move { stop.requested().await };
            // A stand-in has no log; a failed listener is visible as refused connections.
            let _ = server.run_with_graceful_shutdown(app, stopped, None).await;
        });
        Ok(Self {
            address,
            state,
            tasks,
            shutdown,
        })
    }

    /// Returns the address of the executor.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets whether all plain requests and gang tasks fail from now on.
    pub fn set_fail_all(&self, fails: bool) {
        self.state.fail_all.store(fails, Ordering::Release);
        self.tasks.set_fail_all(fails);
    }

    /// Delays every call of the gang task API from now on. A call is applied after the delay, even
    /// if its client has given up by then.
    pub fn set_task_delay(&self, delay: Duration) {
        self.tasks.set_delay(delay);
    }

    /// Returns the number of calls of the gang task API, including lists.
    #[must_use]
    pub fn task_calls(&self) -> u64 {
        self.tasks.calls()
    }

    /// Returns every started gang task as `organisation/id#attempt.index`, in order.
    ///
    /// # Panics
    ///
    /// If a call of the gang task API panicked.
    #[must_use]
    pub fn task_starts(&self) -> Vec<String> {
        let runs = self.task_runs();
        runs.iter().map(|run| run.member.to_string()).collect()
    }

    /// Returns every run of a gang task, in the order of their starts.
    ///
    /// # Panics
    ///
    /// If a call of the gang task API panicked.
    #[must_use]
    pub fn task_runs(&self) -> Vec<TaskRun> {
        self.tasks.runs()
    }

    /// Returns the accelerators in use by loaded and running gang tasks.
    ///
    /// # Panics
    ///
    /// If a call of the gang task API panicked.
    #[must_use]
    pub fn used_accelerators(&self) -> AcceleratorSet {
        self.tasks.used_accelerators()
    }

    /// Returns the number of plain requests that were started.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.state.started.load(Ordering::Acquire)
    }

    /// Returns every started plain request as `organisation/id#attempt`, in order.
    ///
    /// # Panics
    ///
    /// If a request panicked while recording its start.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        self.state
            .runs
            .lock()
            .expect("recording a run doesn't panic")
            .clone()
    }

    /// Stops the executor at once.
    pub fn stop(&self) {
        self.shutdown.request();
    }
}

#[handler]
async fn run_request(
    Data(state): Data<&Arc<ExecutorState>>,
    Json(req): Json<WireRequest>,
) -> Response {
    let Ok(_slot) = state.slots.try_acquire() else {
        return (StatusCode::SERVICE_UNAVAILABLE, "all slots are taken").into_response();
    };
    if state.clock.now() >= Timestamp::from_millis(req.start_before_unix_ms) {
        return (StatusCode::SERVICE_UNAVAILABLE, "too late to start").into_response();
    }
    state.started.fetch_add(1, Ordering::AcqRel);
    let run = format!("{}/{}#{}", req.organisation, req.id, req.attempt);
    state
        .runs
        .lock()
        .expect("recording a run doesn't panic")
        .push(run.clone());
    let work = SimulatedWork::parse(&req.payload);
    if !work.run_time.is_zero() {
        tokio::time::sleep(work.run_time).await;
    }
    if work.fail || state.fail_all.load(Ordering::Acquire) {
        return (StatusCode::INTERNAL_SERVER_ERROR, "the work failed").into_response();
    }
    let mut text = format!("done {run}: {}", req.payload);
    let missing = work.answer_bytes.saturating_sub(text.len());
    text.extend(std::iter::repeat_n('.', missing));
    Json(WireResponse::from(Answer::new(text))).into_response()
}
