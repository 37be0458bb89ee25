//! The client of an agent's WebSocket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_peers::AgentClient;
use rattanwinch_peers::AgentRpcClient as _;
use rattanwinch_peers::AgentRpcServer;
use rattanwinch_peers::RpcServer;
use rattanwinch_peers::WireAnswer;
use rattanwinch_peers::WireAttemptKey;
use rattanwinch_peers::WireAttemptOutcome;
use rattanwinch_peers::WirePlainAttempt;
use rattanwinch_peers::WireRequestKey;
use rattanwinch_peers::request_error;
use rattanwinch_peers::rpc_error;
use rattanwinch_types::Answer;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Verdict;
use tokio::sync::Notify;

const BOUND: Duration = Duration::from_secs(5);

/// Answers a request with its payload: "slow" once another one has arrived, "never" not at all.
struct Echo(Notify);

#[async_trait]
impl AgentRpcServer for Echo {
    async fn ping(&self) -> RpcResult<u64> {
        Ok(1)
    }

    async fn run_request(&self, attempt: WirePlainAttempt) -> RpcResult<WireAnswer> {
        match attempt.payload.as_str() {
            "slow" => self.0.notified().await,
            "never" => std::future::pending().await,
            "busy" => {
                let error = RequestError::not_run(ErrorKind::Busy, "no room");
                return Err(rpc_error(error));
            }
            _ => self.0.notify_one(),
        }
        Ok(WireAnswer::from(Answer::whole(attempt.payload)))
    }

    async fn attempt_outcome(&self, _attempt: WireAttemptKey) -> RpcResult<WireAttemptOutcome> {
        Ok(WireAttemptOutcome::NeverRuns)
    }
}

async fn serve() -> (RpcServer, Arc<AgentClient>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = RpcServer::start(any, 8, Echo(Notify::new()).into_rpc()).await;
    let server = server.expect("a free port can be bound");
    let url = format!("ws://{}", server.address());
    let client = AgentClient::connect(&url, BOUND).await;
    (server, Arc::new(client.expect("the server is reachable")))
}

fn attempt(payload: &str) -> WirePlainAttempt {
    let key = WireRequestKey {
        organisation: "letrafa".to_owned(),
        id: payload.to_owned(),
    };
    WirePlainAttempt {
        attempt: WireAttemptKey { key, attempt: 1 },
        incarnation: 1,
        idempotent: true,
        deadline_unix_ms: 0,
        payload: payload.to_owned(),
    }
}

/// Guards against a response that reaches another call than its own.
#[tokio::test]
async fn responses_out_of_order_reach_their_own_calls() {
    let (_server, client) = serve().await;
    let slow = client.run_request(attempt("slow"));
    // Polled second, "fast" is sent second and lets "slow" be answered after it.
    let both = async { tokio::join!(slow, client.run_request(attempt("fast"))) };
    let (slow, fast) = tokio::time::timeout(BOUND, both).await.expect("answered");
    assert_eq!(slow.expect("slow is answered").text, "slow");
    assert_eq!(fast.expect("fast is answered").text, "fast");
}

/// Guards against a refusal that loses its verdict on the way.
#[tokio::test]
async fn refusal_keeps_its_verdict() {
    let (_server, client) = serve().await;
    let refused = client.run_request(attempt("busy")).await;
    let error = request_error(&refused.expect_err("it is refused"));
    assert_eq!(
        (error.verdict, error.kind),
        (Verdict::NotRun, ErrorKind::Busy)
    );
}

/// Guards against a call that waits for ever on a broken connection, and against a "not run" for
/// a call that had been sent.
#[tokio::test]
async fn calls_end_with_their_connection() {
    let (server, client) = serve().await;
    let waiting = Arc::clone(&client);
    let never = tokio::spawn(async move { waiting.run_request(attempt("never")).await });
    // The other task sends its call first, so once the ping is answered, that call has arrived.
    tokio::task::yield_now().await;
    client.ping().await.expect("the server answers");
    drop(client);
    let stop = tokio::spawn(server.stop());
    never.abort();
    let ended = tokio::time::timeout(BOUND, stop).await;
    ended
        .expect("the connection is closed once its last call is given up")
        .expect("stopped");

    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("it has an address");
    let proxied = serve().await.0;
    let target = proxied.address();
    let proxy = tokio::spawn(async move {
        let (mut near, _) = listener.accept().await.expect("a connection");
        let mut far = tokio::net::TcpStream::connect(target)
            .await
            .expect("connected");
        let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
    });
    let client = AgentClient::connect(&format!("ws://{address}"), BOUND).await;
    let client = Arc::new(client.expect("the proxy connects"));
    let waiting = Arc::clone(&client);
    let never = tokio::spawn(async move { waiting.run_request(attempt("never")).await });
    tokio::task::yield_now().await;
    client.ping().await.expect("the server answers");
    proxy.abort();
    let ended = tokio::time::timeout(BOUND, never)
        .await
        .expect("the call ends");
    let error = ended.expect("no panic").expect_err("no answer can arrive");
    assert_eq!(request_error(&error).verdict, Verdict::MayHaveRun);
    let later = tokio::time::timeout(BOUND, client.ping()).await;
    later
        .expect("a later call ends")
        .expect_err("the connection has ended");
}
