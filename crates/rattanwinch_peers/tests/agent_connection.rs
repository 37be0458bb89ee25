//! Connections to agents: an unresponsive one is replaced in time, and an idle one is pinged
//! rarely.

use std::io::Read as _;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::rpc_params;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::WsClient;
use rattanwinch_peers::AgentConnection;
use rattanwinch_peers::AgentRpcClient as _;
use rattanwinch_peers::CONNECTION_PING_INTERVAL;
use rattanwinch_peers::CONNECTION_PING_TIMEOUT;
use rattanwinch_peers::RpcServer;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The tolerance for delays on a shared machine.
const TIMING_TOLERANCE: Duration = Duration::from_millis(500);

/// The time for which an idle connection is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// Forwards connections to an agent; existing ones can be made unresponsive without closing them.
struct Relay {
    address: SocketAddr,
    drop_flags: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Relay {
    fn start(agent: SocketAddr) -> Self {
        let listener = TcpListener::bind(ANY_PORT).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let drop_flags: Arc<Mutex<Vec<Arc<AtomicBool>>>> = Arc::default();
        let flags = Arc::clone(&drop_flags);
        std::thread::spawn(move || {
            for client_side in listener.incoming().map_while(Result::ok) {
                let agent_side = TcpStream::connect(agent).expect("the agent listens");
                let flag = Arc::new(AtomicBool::new(false));
                flags
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(Arc::clone(&flag));
                let copies = [
                    (client_side.try_clone(), agent_side.try_clone()),
                    (agent_side.try_clone(), client_side.try_clone()),
                ];
                for (from, to) in copies {
                    let (from, to) = (from.expect("open"), to.expect("open"));
                    let flag = Arc::clone(&flag);
                    std::thread::spawn(move || forward(from, to, &flag));
                }
            }
        });
        Self {
            address,
            drop_flags,
        }
    }

    fn drop_all_traffic(&self) {
        for flag in self.lock_flags().iter() {
            flag.store(true, Ordering::Release);
        }
    }

    fn opened_connections(&self) -> usize {
        self.lock_flags().len()
    }

    fn lock_flags(&self) -> MutexGuard<'_, Vec<Arc<AtomicBool>>> {
        self.drop_flags
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, drop_traffic: &AtomicBool) {
    let mut buf = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buf) {
        if !drop_traffic.load(Ordering::Acquire) && to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    // The peer may already have closed the connection.
    let _ = to.shutdown(Shutdown::Both);
}

/// Starts an agent that answers and counts pings, and never answers `agent_wait`.
async fn start_agent() -> (RpcServer, Arc<AtomicU32>) {
    let pings = Arc::new(AtomicU32::new(0));
    let mut methods = RpcModule::new(Arc::clone(&pings));
    let answer = |_: jsonrpsee::types::Params<'_>, pings: &Arc<AtomicU32>, _: &_| {
        u64::from(pings.fetch_add(1, Ordering::AcqRel))
    };
    methods
        .register_method("agent_ping", answer)
        .expect("the name is new");
    methods
        .register_async_method("agent_wait", |_, _, _| async {
            std::future::pending::<Result<u64, ErrorObjectOwned>>().await
        })
        .expect("the name is new");
    let server = RpcServer::builder()
        .address(ANY_PORT)
        .max_connections(16)
        .start(methods)
        .await;
    (server.expect("a port is free"), pings)
}

async fn wait_connected(connection: &AgentConnection) -> Arc<WsClient> {
    let connecting = async {
        loop {
            if let Ok(client) = connection.client() {
                return client;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let connecting = tokio::time::timeout(Duration::from_secs(5), connecting).await;
    connecting.expect("the connection opens")
}

/// Guards against a call that waits for longer than the stated 1.5 s on a connection that has
/// stopped responding.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_stops_responding_during_a_call_is_replaced() {
    let (agent, _) = start_agent().await;
    let relay = Relay::start(agent.address());
    let connection = AgentConnection::open(relay.address);
    let client = wait_connected(&connection).await;
    let caller = Arc::clone(&client);
    let call = tokio::spawn(async move {
        let _: Result<u64, _> = caller.request("agent_wait", rpc_params![]).await;
    });
    client.ping().await.expect("the connection works");
    relay.drop_all_traffic();
    let bound = CONNECTION_PING_INTERVAL + CONNECTION_PING_TIMEOUT + TIMING_TOLERANCE;
    let replaced = tokio::time::timeout(bound, connection.wait_until_disconnected(&client)).await;
    replaced.expect("the unresponsive connection is replaced");
    let replacement = wait_connected(&connection).await;
    replacement.ping().await.expect("the replacement works");
    call.abort();
}

/// Guards against a replacement that is itself replaced at once, which sends the calls on it again
/// and takes the time of another connection attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_replaced_by_one_other() {
    let (agent, _) = start_agent().await;
    let relay = Relay::start(agent.address());
    let connection = AgentConnection::open(relay.address);
    let client = wait_connected(&connection).await;
    client.ping().await.expect("the connection works");
    relay.drop_all_traffic();
    connection.wait_until_disconnected(&client).await;
    let replacement = wait_connected(&connection).await;
    replacement.ping().await.expect("the replacement works");
    let again = connection.wait_until_disconnected(&replacement);
    let again = tokio::time::timeout(OBSERVATION_TIME, again).await;
    assert!(again.is_err(), "the replacement was replaced");
    assert_eq!(relay.opened_connections(), 2);
}

/// Guards against two pings a second on every idle connection of a large fleet, and against an
/// unresponsive idle connection that is detected only by the next regular ping.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_pinged_rarely_and_replaced_on_its_first_use() {
    let (agent, pings) = start_agent().await;
    let relay = Relay::start(agent.address());
    let connection = AgentConnection::open(relay.address);
    drop(wait_connected(&connection).await);
    tokio::time::sleep(OBSERVATION_TIME).await;
    let idle = pings.load(Ordering::Acquire);
    assert!(
        (1..=3).contains(&idle),
        "{idle} pings in {OBSERVATION_TIME:?}"
    );
    relay.drop_all_traffic();
    let client = wait_connected(&connection).await;
    let bound = CONNECTION_PING_INTERVAL + CONNECTION_PING_TIMEOUT + TIMING_TOLERANCE;
    let replaced = tokio::time::timeout(bound, connection.wait_until_disconnected(&client)).await;
    replaced.expect("the unresponsive connection is replaced");
    let replacement = wait_connected(&connection).await;
    replacement.ping().await.expect("the replacement works");
}
