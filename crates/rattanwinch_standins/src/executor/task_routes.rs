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

/// What the task routes share with the stand-in that a test holds.
#[derive(Debug)]
pub(super) struct TaskService {
    clock: Clock,
    /// The same moment on the clock and as an instant.
    origin: (Timestamp, Instant),
    tasks: Mutex<StandinTasks>,
    calls: AtomicU64,
    delay_ms: AtomicU64,
    fails_everything: AtomicBool,
}

impl TaskService {
    /// A service without tasks.
    pub fn new() -> Self {
        let clock = Clock::start();
        Self {
            clock,
            origin: (clock.now(), Instant::now()),
            tasks: Mutex::default(),
            calls: AtomicU64::new(0),
            delay_ms: AtomicU64::new(0),
            fails_everything: AtomicBool::new(false),
        }
    }

    /// The tasks.
    pub fn tasks(&self) -> MutexGuard<'_, StandinTasks> {
        self.tasks.lock().expect("no call about tasks panics")
    }

    /// Every run in the order of the starts.
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

    /// The accelerators that loaded and running tasks use.
    pub fn taken(&self) -> AcceleratorSet {
        self.tasks().taken(self.clock.now())
    }

    fn instant(&self, at: Timestamp) -> Instant {
        let (timestamp, instant) = self.origin;
        instant + at.since(timestamp)
    }

    /// The calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Acquire)
    }

    /// Delays every call about tasks from now on; the call takes effect after the delay.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::Release);
    }

    /// Makes every task that is run from now on fail at its end, or lets it succeed again.
    pub fn set_fail_all(&self, fails: bool) {
        self.fails_everything.store(fails, Ordering::Release);
    }

    /// Waits the delay, then makes the call, even if the client has gone by then: an executor
    /// that is slow still does what it was asked.
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
            // The runtime is ending and drops this call next.
            Err(error) if error.is_cancelled() => std::future::pending().await,
            Err(error) => panic!("no call about tasks panics: {error}"),
        }
    }
}

/// The routes of `docs/executor-api.md` that are about tasks.
pub(super) fn task_routes(route: Route) -> Route {
    let task = "/v1/tasks/:organisation/:id/:attempt/:index";
    route
        .at("/v1/tasks", get(list))
        .at("/v1/lease", post(renew))
        .at(task, put(load).delete(forget))
        .at(format!("{task}/run"), post(run))
        .at(format!("{task}/stop"), post(stop))
        .at(format!("{task}/output"), get(output))
}

type TaskPath = Path<(String, String, u32, u16)>;

fn member((organisation, id, attempt, index): (String, String, u32, u16)) -> Result<MemberKey> {
    let bad = |_| (StatusCode::BAD_REQUEST, "a name in the path is wrong");
    let key = RequestKey {
        organisation: Organisation::new(organisation).map_err(bad)?,
        id: RequestId::new(id).map_err(bad)?,
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
    const BAD: TaskError = (StatusCode::BAD_REQUEST, "a task's path is wrong");
    let mut parts = path.split('/').map(str::to_owned);
    let mut next = || parts.next().ok_or(BAD);
    let (organisation, id) = (next()?, next()?);
    let attempt = next()?.parse().map_err(|_| BAD)?;
    let index = next()?.parse().map_err(|_| BAD)?;
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
    let fails = service.fails_everything.load(Ordering::Acquire);
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
async fn forget(Data(service): Data<&Arc<TaskService>>, Path(path): TaskPath) -> Response {
    let call = service.call(|tasks, now| tasks.delete(&member(path)?, now));
    answer(call.await)
}

#[handler]
async fn output(Data(service): Data<&Arc<TaskService>>, Path(path): TaskPath) -> Response {
    let call = service.call(|tasks, now| tasks.output(&member(path)?, now));
    match call.await {
        Ok(output) => Json(WireResponse::from(output)).into_response(),
        Err(refusal) => refusal.into_response(),
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
        Err(refusal) => return refusal.into_response(),
    };
    let lease = Duration::from_millis(body.lease_ms);
    let call = service.call(move |tasks, now| tasks.renew(&members, lease, now));
    call.await;
    StatusCode::NO_CONTENT.into_response()
}
