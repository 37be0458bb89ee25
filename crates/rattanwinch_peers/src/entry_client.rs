use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use rattanwinch_types::ConfigCopy;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Explanation;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::JobSpec;
use rattanwinch_types::JobStatus;
use rattanwinch_types::PeerState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::ZoneName;

use crate::EntryRpcClient;
use crate::InvalidMessage;
use crate::JobRpcClient;
use crate::MAX_MESSAGE_BYTES;
use crate::PeerRpcClient;
use crate::rpc_error::request_error;
use crate::rpc_error::timed_out;

/// What a call to an entry returns.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Longer than any wait that is asked for; each call has a limit of its own below it.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// The time that a call without a wait of its own may take.
const SHORT_CALL: Duration = Duration::from_secs(2);

/// Calls one entry over HTTP. A call that times out closes its connection, so a connection that
/// has fallen silent isn't used again.
#[derive(Clone)]
pub struct EntryClient {
    address: SocketAddr,
    client: HttpClient,
}

impl fmt::Debug for EntryClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("EntryClient").field(&self.address).finish()
    }
}

impl EntryClient {
    /// Makes a client; it connects with the first call.
    ///
    /// # Panics
    ///
    /// If the HTTP client can't be set up, which its fixed settings rule out.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}"))
            .expect("the fixed settings of the HTTP client are valid");
        Self { address, client }
    }

    /// The entry's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if no answer came within `limit`.
    pub async fn heartbeat(&self, req: Heartbeat, limit: Duration) -> Result<HeartbeatResponse> {
        let answer = within("a heartbeat", limit, self.client.heartbeat(req.into())).await?;
        HeartbeatResponse::try_from(answer).map_err(|error| invalid_answer(&error))
    }

    /// Exchanges state with another entry.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if no answer came within `limit`.
    pub async fn ping(&self, state: PeerState, limit: Duration) -> Result<PeerState> {
        let answer = within("a ping", limit, self.client.ping(state.into())).await?;
        PeerState::try_from(answer).map_err(|error| invalid_answer(&error))
    }

    /// Asks for the configuration that the entry acts on.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if no answer came within `limit`, or if the entry has none.
    pub async fn config(&self, limit: Duration) -> Result<ConfigCopy> {
        let answer = within("a configuration", limit, self.client.config()).await?;
        Ok(answer.into())
    }

    /// Hands a job to the decider of `zone`.
    ///
    /// # Errors
    ///
    /// The decider's refusal with its verdict, or [`ErrorKind::Unavailable`] with "may have run".
    pub async fn submit_job(&self, zone: &ZoneName, job: JobSpec) -> Result<JobStatus> {
        let call = self.client.submit_job(zone.to_string(), job.into());
        let answer = within("a job's submission", SHORT_CALL * 2, call).await?;
        JobStatus::try_from(answer).map_err(|error| invalid_answer(&error))
    }

    /// Asks for a job's status, at once or when it has finished, at most `wait` later.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] if the entry doesn't know the job, [`ErrorKind::Unavailable`] if
    /// no answer came.
    pub async fn job_status(&self, key: RequestKey, wait: Duration) -> Result<JobStatus> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = self.client.job_status(key.into(), wait_ms);
        let answer = within("a question for a job", wait + SHORT_CALL, call).await?;
        JobStatus::try_from(answer).map_err(|error| invalid_answer(&error))
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// As [`Self::job_status`].
    pub async fn cancel_job(&self, key: RequestKey) -> Result<JobStatus> {
        let call = self.client.cancel_job(key.into());
        let answer = within("a job's cancellation", SHORT_CALL * 2, call).await?;
        JobStatus::try_from(answer).map_err(|error| invalid_answer(&error))
    }

    /// Asks for the decisions about a job, oldest first.
    ///
    /// # Errors
    ///
    /// As [`Self::job_status`].
    pub async fn explain_job(&self, key: RequestKey) -> Result<Vec<Explanation>> {
        let call = self.client.explain_job(key.into());
        let answer = within("a question for reasons", SHORT_CALL, call).await?;
        Ok(answer.into_iter().map(Explanation::from).collect())
    }
}

async fn within<T>(
    what: &str,
    limit: Duration,
    call: impl Future<Output = std::result::Result<T, ClientError>>,
) -> Result<T> {
    match tokio::time::timeout(limit, call).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(request_error(&error)),
        Err(_) => Err(timed_out(what, limit)),
    }
}

fn invalid_answer(error: &InvalidMessage) -> RequestError {
    RequestError::may_have_run(ErrorKind::Failed, format!("unreadable answer: {error}"))
}
