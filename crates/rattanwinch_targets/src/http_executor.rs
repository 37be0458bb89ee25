use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;

use crate::Executor;
use crate::Result;
use crate::TaskOrder;
use crate::TaskReport;
use crate::WireRequest;
use crate::WireResponse;
use crate::WireTaskLeaseRenewal;
use crate::WireTaskList;
use crate::WireTaskOrder;
use crate::WireTaskStop;

/// The time in which the executor, on the same VM, answers anything but a plain request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// The executor behind the HTTP interface of `docs/executor-api.md`.
#[derive(Clone, Debug)]
pub struct HttpExecutor {
    client: Client,
    base: Arc<str>,
}

impl HttpExecutor {
    /// Makes a client of the executor at `address`; it connects with the first call.
    ///
    /// # Panics
    ///
    /// If the HTTP client can't be set up, which its fixed settings rule out.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .connect_timeout(CONTROL_TIMEOUT)
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .expect("the fixed settings of the HTTP client are valid");
        Self {
            client,
            base: Arc::from(format!("http://{address}/v1")),
        }
    }

    fn task_url(&self, member: &MemberKey, verb: &str) -> String {
        format!("{}/tasks/{}{verb}", self.base, task_path(member))
    }

    async fn control(&self, what: &str, req: RequestBuilder) -> Result<Response> {
        let sent = req.timeout(CONTROL_TIMEOUT).send().await;
        let response = sent.map_err(|error| transport_error(what, &error))?;
        check_status(what, response).await
    }
}

impl Executor for HttpExecutor {
    async fn run_request(
        &self,
        attempt: &AttemptKey,
        payload: &Arc<str>,
        limit: Duration,
        start_before: Timestamp,
    ) -> Result<Answer> {
        let what = "a plain request";
        let body = WireRequest::new(attempt, payload, limit, start_before);
        let url = format!("{}/requests", self.base);
        let sent = self
            .client
            .post(url)
            .json(&body)
            .timeout(limit)
            .send()
            .await;
        let response = sent.map_err(|error| transport_error(what, &error))?;
        read_answer(what, check_status(what, response).await?).await
    }

    async fn load_task(&self, order: &TaskOrder) -> Result<()> {
        let url = self.task_url(&order.member, "");
        let req = self.client.put(url).json(&WireTaskOrder::from(order));
        self.control("loading a task", req).await.map(drop)
    }

    async fn run_task(&self, member: &MemberKey) -> Result<()> {
        let req = self.client.post(self.task_url(member, "/run"));
        self.control("running a task", req).await.map(drop)
    }

    async fn stop_task(&self, member: &MemberKey, mode: StopMode) -> Result<()> {
        let body = WireTaskStop {
            mode: mode.as_str().to_owned(),
        };
        let req = self.client.post(self.task_url(member, "/stop")).json(&body);
        self.control("stopping a task", req).await.map(drop)
    }

    async fn renew_tasks(&self, members: &[MemberKey], lease: Duration) -> Result<()> {
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        let body = WireTaskLeaseRenewal {
            tasks: members.iter().map(task_path).collect(),
            lease_ms,
        };
        let req = self.client.post(format!("{}/lease", self.base)).json(&body);
        self.control("renewing tasks", req).await.map(drop)
    }

    async fn tasks(&self) -> Result<Vec<TaskReport>> {
        let what = "listing tasks";
        let response = self
            .control(what, self.client.get(format!("{}/tasks", self.base)))
            .await?;
        let list: WireTaskList = response
            .json()
            .await
            .map_err(|error| transport_error(what, &error))?;
        let reports = list.tasks.into_iter().map(TaskReport::try_from);
        reports
            .collect::<std::result::Result<_, _>>()
            .map_err(|error| {
                RequestError::may_have_run(ErrorKind::Failed, format!("{what}: {error}"))
            })
    }

    async fn output(&self, member: &MemberKey) -> Result<Answer> {
        let what = "reading a task's output";
        let req = self.client.get(self.task_url(member, "/output"));
        read_answer(what, self.control(what, req).await?).await
    }

    async fn forget_task(&self, member: &MemberKey) -> Result<()> {
        let req = self.client.delete(self.task_url(member, ""));
        self.control("forgetting a task", req).await.map(drop)
    }
}

/// A task's path below `/v1/tasks/`.
fn task_path(member: &MemberKey) -> String {
    let key = &member.attempt.key;
    format!(
        "{}/{}/{}/{}",
        key.organisation, key.id, member.attempt.attempt, member.index
    )
}

/// Nothing was sent if no connection could be made; after that, anything may have happened.
fn transport_error(what: &str, error: &reqwest::Error) -> RequestError {
    let verdict = if error.is_connect() {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    };
    let message = format!("{what}: the executor didn't answer: {error}");
    RequestError::new(verdict, ErrorKind::Unavailable, message)
}

/// The executor's statuses: 4xx and 503 mean that nothing ran, any other error that it may have.
async fn check_status(what: &str, response: Response) -> Result<Response> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.text().await.unwrap_or_default();
    let message = format!("{what}: the executor answered {status}: {text}");
    Err(match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            RequestError::not_run(ErrorKind::Busy, message)
        }
        StatusCode::NOT_FOUND => RequestError::not_run(ErrorKind::NotFound, message),
        StatusCode::CONFLICT => RequestError::not_run(ErrorKind::Conflict, message),
        status if status.is_client_error() => RequestError::not_run(ErrorKind::Invalid, message),
        StatusCode::INTERNAL_SERVER_ERROR => {
            RequestError::new(Verdict::Ran, ErrorKind::Failed, message)
        }
        _ => RequestError::may_have_run(ErrorKind::Failed, message),
    })
}

async fn read_answer(what: &str, response: Response) -> Result<Answer> {
    let body: WireResponse = response.json().await.map_err(|error| {
        let message = format!("{what}: the executor's answer broke off: {error}");
        RequestError::new(Verdict::Ran, ErrorKind::Failed, message)
    })?;
    body.into_answer().ok_or_else(|| {
        let message = format!("{what}: the executor's answer doesn't match its digest");
        RequestError::new(Verdict::Ran, ErrorKind::Failed, message)
    })
}
