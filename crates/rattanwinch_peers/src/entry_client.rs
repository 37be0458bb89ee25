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
use crate::rpc_error::timeout_error;

/// The result of a call to an entry.
pub type Result<T> = std::result::Result<T, RequestError>;

/// The timeout of the HTTP client, longer than any requested wait; each call has a shorter timeout
/// of its own.
const HTTP_CLIENT_TIMEOUT: Duration = Duration::from_secs(120);

/// The timeout of a call that does not specify one.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls one entry over HTTP. A call that times out closes its connection, so an unresponsive
/// connection is not reused.
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
    /// Creates a client; it connects on the first call.
    ///
    /// # Panics
    ///
    /// If the HTTP client cannot be created, which its fixed settings rule out.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let client = HttpClientBuilder::default()
            .request_timeout(HTTP_CLIENT_TIMEOUT)
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
    /// [`ErrorKind::Unavailable`] if no answer came within `timeout`.
    pub async fn heartbeat(&self, req: Heartbeat, timeout: Duration) -> Result<HeartbeatResponse> {
        let response =
            call_with_timeout("heartbeat", timeout, self.client.heartbeat(req.into())).await?;
        HeartbeatResponse::try_from(response).map_err(|error| invalid_response(&error))
    }

    /// Exchanges state with another entry.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if no answer came within `timeout`.
    pub async fn ping(&self, state: PeerState, timeout: Duration) -> Result<PeerState> {
        let response = call_with_timeout("ping", timeout, self.client.ping(state.into())).await?;
        PeerState::try_from(response).map_err(|error| invalid_response(&error))
    }

    /// Fetches the configuration that the entry has applied.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if no answer came within `timeout`, or if the entry has none.
    pub async fn config(&self, timeout: Duration) -> Result<ConfigCopy> {
        let response =
            call_with_timeout("configuration fetch", timeout, self.client.config()).await?;
        Ok(response.into())
    }

    /// Enqueues a recorded job at the decider of `zone`.
    ///
    /// # Errors
    ///
    /// The decider's error with its verdict, or [`ErrorKind::Unavailable`] with "may have run".
    pub async fn submit_job(&self, zone: &ZoneName, job: JobSpec) -> Result<JobStatus> {
        let call = self.client.submit_job(zone.to_string(), job.into());
        let response = call_with_timeout("job submission", DEFAULT_CALL_TIMEOUT * 2, call).await?;
        JobStatus::try_from(response).map_err(|error| invalid_response(&error))
    }

    /// Queries a job's status, at once or when it has finished, at most `wait` later.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] if the entry does not know the job, [`ErrorKind::Unavailable`] if no
    /// response came.
    pub async fn job_status(&self, key: RequestKey, wait: Duration) -> Result<JobStatus> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = self.client.job_status(key.into(), wait_ms);
        let response =
            call_with_timeout("job status query", wait + DEFAULT_CALL_TIMEOUT, call).await?;
        JobStatus::try_from(response).map_err(|error| invalid_response(&error))
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// As [`Self::job_status`].
    pub async fn cancel_job(&self, key: RequestKey) -> Result<JobStatus> {
        let call = self.client.cancel_job(key.into());
        let response =
            call_with_timeout("job cancellation", DEFAULT_CALL_TIMEOUT * 2, call).await?;
        JobStatus::try_from(response).map_err(|error| invalid_response(&error))
    }

    /// Queries the decisions about a job, oldest first.
    ///
    /// # Errors
    ///
    /// As [`Self::job_status`].
    pub async fn explain_job(&self, key: RequestKey) -> Result<Vec<Explanation>> {
        let call = self.client.explain_job(key.into());
        let response =
            call_with_timeout("job explanation query", DEFAULT_CALL_TIMEOUT, call).await?;
        Ok(response.into_iter().map(Explanation::from).collect())
    }
}

async fn call_with_timeout<T>(
    operation: &str,
    timeout: Duration,
    call: impl Future<Output = std::result::Result<T, ClientError>>,
) -> Result<T> {
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(request_error(&error)),
        Err(_) => Err(timeout_error(operation, timeout)),
    }
}

fn invalid_response(error: &InvalidMessage) -> RequestError {
    RequestError::may_have_run(
        ErrorKind::Failed,
        format!("invalid response from an entry: {error}"),
    )
}
