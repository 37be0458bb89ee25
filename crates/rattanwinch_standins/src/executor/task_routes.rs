use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use poem::IntoResponse;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::post;
use poem::put;
use poem::web::Data;
use poem::web::Json;
use poem::web::Path;
use rattanwinch_runtime::Clock;
use rattanwinch_targets::TaskOrder;
use rattanwinch_targets::WireResponse;
use rattanwinch_targets::WireTaskLeaseRenewal;
use rattanwinch_targets::WireTaskList;
use rattanwinch_targets::WireTaskOrder;
use rattanwinch_targets::WireTaskStop;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::Epoch;
use rattanwinch_types::MemberKey;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;

use super::TaskRun;
use super::standin_tasks::RecordedRun;
use super::standin_tasks::Result;
use super::standin_tasks::StandinTasks;
use super::standin_tasks::TaskError;

/// The state that the task routes and the control methods share.
#[derive(Debug)]
pub(super) struct TaskService {
    clock: Clock,
    /// One point in time as a timestamp of the clock and as an instant, for conversion.
    origin: (Timestamp, Instant),
    tasks: Mutex<StandinTasks>,
    calls: AtomicU64,
    delay_ms: AtomicU64,
    fail_all: AtomicBool,
}

impl TaskService {
    /// Creates a service without tasks.
    pub fn new() -> Self {
        let clock = Clock::start();
        Self {
            clock,
            origin: (clock.now(), Instant::now()),
            tasks: Mutex::default(),
            calls: AtomicU64::new(0),
            delay_ms: AtomicU64::new(0),
            fail_all: AtomicBool::new(false),
        }
    }

    /// Locks the tasks.
    pub fn tasks(&self) -> MutexGuard<'_, StandinTasks> {
        self.tasks.lock().expect("no call of the task API panics")
    }

    /// Returns every run, in the order of their starts.
    pub fn runs(&self) -> Vec<TaskRun> {
        let mut tasks = self.tasks();
        let runs = tasks.runs(self.clock.now()).iter();
        let convert = |recorded: &RecordedRun| TaskRun {
            member: recorded.member.clone(),
            started_at: self.instant(recorded.started_at),
            ended_at: recorded.ended_at.map(|at| self.instant(at)),
        };
        runs.map(convert).collect()
    }

    /// Returns the accelerators in use by loaded and running tasks.
    pub fn used_accelerators(&self) -> AcceleratorSet {
        self.tasks().used_accelerators(self.clock.now())
    }

    fn instant(&self, at: Timestamp) -> Instant {
        let (timestamp, instant) = self.origin;
        instant + at.since(timestamp)
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Acquire)
    }

    /// Delays every call of the task API from now on; a call is applied after the delay.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::Release);
    }

    /// Sets whether tasks that are started from now on fail when their work completes.
    pub fn set_fail_all(&self, fails: bool) {
        self.fail_all.store(fails, Ordering::Release);
    }

    /// Applies a call after the delay, even if the client has disconnected by then, as a slow
    /// executor would.
    async fn call<T: Send + 'static>(
        self: &Arc<Self>,
        call: impl FnOnce(&mut StandinTasks, Timestamp) -> T + Send + 'static,
    ) -> T {
        self.calls.fetch_add(1, Ordering::AcqRel);
        let service = Arc::clone(self);
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::Acquire));
        let task = tokio::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let mut tasks = service.tasks();
            call(&mut tasks, service.clock.now())
        });
        match task.await {
            Ok(outcome) => outcome,
            // The runtime is shutting down and will drop this call.
            Err(error) if error.is_cancelled() => std::future::pending().await,
            Err(error) => panic!("call of the task API panicked: {error}"),
        }
    }
}

/// The task routes of `docs/executor-api.md`.
pub(super) fn task_routes(route: Route) -> Route {
    let task = "/v1/tasks/:organisation/:id/:attempt/:index";
    route
        .at("/v1/tasks", get(list))
        .at("/v1/lease", post(renew))
        .at(task, put(load).delete(delete_task))
        .at(format!("{task}/run"), post(run))
        .at(format!("{task}/stop"), post(stop))
        .at(format!("{task}/output"), get(output))
}

type TaskPath = Path<(String, String, u32, u16)>;

fn member((organisation, id, attempt, index): (String, String, u32, u16)) -> Result<MemberKey> {
    let invalid_name = |_| (StatusCode::BAD_REQUEST, "invalid name in the path");
    let key = RequestKey {
        organisation: Organisation::new(organisation).map_err(invalid_name)?,
        id: RequestId::new(id).map_err(invalid_name)?,
    };
    let attempt = AttemptKey { key, attempt };
    Ok(MemberKey { attempt, index })
}

fn task_order(member: MemberKey, wire: WireTaskOrder) -> TaskOrder {
    TaskOrder::builder()
        .member(member)
        .epoch(Epoch(wire.epoch))
        .accelerators(AcceleratorSet::from_bits(wire.accelerators))
        .gang_tasks(wire.gang_tasks)
        .payload(Arc::from(wire.payload))
        .lease(Duration::from_millis(wire.lease_ms))
        .build()
}

fn parse_path(path: &str) -> Result<MemberKey> {
    const INVALID_PATH: TaskError = (StatusCode::BAD_REQUEST, "invalid task path");
    let mut parts = path.split('/').map(str::to_owned);
    let mut next = || parts.next().ok_or(INVALID_PATH);
    let (organisation, id) = (next()?, next()?);
    let attempt = next()?.parse().map_err(|_| INVALID_PATH)?;
    let index = next()?.parse().map_err(|_| INVALID_PATH)?;
    member((organisation, id, attempt, index))
}

fn answer(result: Result<()>) -> Response {
    result.map_or_else(IntoResponse::into_response, |()| {
        StatusCode::NO_CONTENT.into_response()
    })
}

#[handler]
async fn load(
    Data(service): Data<&Arc<TaskService>>,
    Path(path): TaskPath,
    Json(order): Json<WireTaskOrder>,
) -> Response {
    let call = service.call(|tasks, now| tasks.load(&task_order(member(path)?, order), now));
    answer(call.await)
}

#[handler]
async fn run(Data(service): Data<&Arc<TaskService>>, Path(path): TaskPath) -> Response {
    let fails = service.fail_all.load(Ordering::Acquire);
    let call = service.call(move |tasks, now| tasks.run(&member(path)?, fails, now).map(drop));
    answer(call.await)
}

#[handler]
async fn stop(
    Data(service): Data<&Arc<TaskService>>,
    Path(path): TaskPath,
    Json(order): Json<WireTaskStop>,
) -> Response {
    let Some(mode) = StopMode::parse(&order.mode) else {
        return (StatusCode::BAD_REQUEST, "unknown mode").into_response();
    };
    let call = service.call(move |tasks, now| tasks.stop(&member(path)?, mode, now));
    answer(call.await)
}

#[handler]
async fn delete_task(Data(service): Data<&Arc<TaskService>>, Path(path): TaskPath) -> Response {
    let call = service.call(|tasks, now| tasks.delete(&member(path)?, now));
    answer(call.await)
}

#[handler]
async fn output(Data(service): Data<&Arc<TaskService>>, Path(path): TaskPath) -> Response {
    let call = service.call(|tasks, now| tasks.output(&member(path)?, now));
    match call.await {
        Ok(output) => Json(WireResponse::from(output)).into_response(),
        Err(error) => error.into_response(),
    }
}

#[handler]
async fn list(Data(service): Data<&Arc<TaskService>>) -> Response {
    let reports = service.call(StandinTasks::list).await;
    let tasks = reports.into_iter().map(Into::into).collect();
    Json(WireTaskList { tasks }).into_response()
}

#[handler]
async fn renew(
    Data(service): Data<&Arc<TaskService>>,
    Json(body): Json<WireTaskLeaseRenewal>,
) -> Response {
    let members: Result<Vec<_>> = body.tasks.iter().map(|path| parse_path(path)).collect();
    let members = match members {
        Ok(members) => members,
        Err(error) => return error.into_response(),
    };
    let lease = Duration::from_millis(body.lease_ms);
    let call = service.call(move |tasks, now| tasks.renew(&members, lease, now));
    call.await;
    StatusCode::NO_CONTENT.into_response()
}
