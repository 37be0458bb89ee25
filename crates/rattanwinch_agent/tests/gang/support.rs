//! An agent with a stand-in for its executor and a fake entry that decides its zone.

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use rattanwinch_agent::AgentDaemon;
use rattanwinch_agent::AgentSettings;
use rattanwinch_agent::Serving;
use rattanwinch_peers::EntryRpcServer;
use rattanwinch_peers::GangRpcClient as _;
use rattanwinch_peers::RpcServer;
use rattanwinch_peers::WireHeartbeat;
use rattanwinch_peers::WireHeartbeatResponse;
use rattanwinch_peers::request_error;
use rattanwinch_runtime::discard_logger;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_targets::HttpExecutor;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::Organisation;
use rattanwinch_types::RackName;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;

pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The maximum time that tests wait for an event on a busy machine.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// The epoch at which the fake entry decides the zone.
pub const EPOCH: i64 = 7;

struct EntryState {
    response: HeartbeatResponse,
    last: Option<Heartbeat>,
    count: u64,
}

/// An entry that sends a configurable response to each heartbeat.
#[derive(Clone)]
pub struct FakeEntry(Arc<Mutex<EntryState>>);

#[async_trait]
impl EntryRpcServer for FakeEntry {
    async fn heartbeat(&self, wire: WireHeartbeat) -> RpcResult<WireHeartbeatResponse> {
        let mut state = self.0.lock().unwrap();
        state.last = Some(Heartbeat::try_from(wire).expect("an agent sends valid heartbeats"));
        state.count += 1;
        Ok(state.response.clone().into())
    }
}

impl FakeEntry {
    pub async fn start() -> (Self, RpcServer) {
        let response = HeartbeatResponse::builder()
            .entries(Vec::new())
            .decider_epoch(Epoch(EPOCH))
            .freshness(Duration::from_secs(60))
            .config_revision(Revision(1))
            .zone_closed(false)
            .plain_when_stale(Duration::ZERO)
            .stop(smallvec::smallvec![])
            .forget(smallvec::smallvec![])
            .duplicate(false)
            .build();
        let state = EntryState {
            response,
            last: None,
            count: 0,
        };
        let entry = Self(Arc::new(Mutex::new(state)));
        let server = RpcServer::builder()
            .address(ANY_PORT)
            .max_connections(16)
            .start(entry.clone().into_rpc())
            .await;
        (entry, server.expect("loopback can be bound"))
    }

    pub fn change_response(&self, change: impl FnOnce(&mut HeartbeatResponse)) {
        change(&mut self.0.lock().unwrap().response);
    }

    pub fn last_heartbeat(&self) -> Option<Heartbeat> {
        self.0.lock().unwrap().last.clone()
    }

    /// The phase of a member according to the latest heartbeat.
    pub fn phase(&self, member: &MemberKey) -> Option<MemberPhase> {
        let members = self.last_heartbeat()?.members;
        let report = members.into_iter().find(|report| report.member == *member);
        Some(report?.phase)
    }

    /// Waits until a heartbeat reports the member in the given phase.
    pub async fn wait_phase(&self, member: &MemberKey, expected: &MemberPhase) {
        let what = format!("{member} in phase {expected:?}");
        let found = async || self.phase(member).filter(|it| it == expected);
        eventually(&what, found).await;
    }

    /// Waits until a heartbeat no longer reports the member.
    pub async fn wait_not_reported(&self, member: &MemberKey) {
        let gone = async || self.phase(member).is_none().then_some(());
        eventually(&format!("{member} to be no longer reported"), gone).await;
    }

    /// Waits for this many further heartbeats to be answered.
    pub async fn wait_heartbeats(&self, count: u64) {
        let until = self.0.lock().unwrap().count + count;
        let counted = async || (self.0.lock().unwrap().count >= until).then_some(());
        eventually("heartbeats", counted).await;
    }

    /// Connects to the agent once it has applied a response and thus knows the epoch.
    pub async fn connect_decider(&self) -> WsClient {
        let known = |heartbeat: &Heartbeat| heartbeat.epoch == Epoch(EPOCH);
        let heartbeat = eventually("a heartbeat with the epoch", async || {
            self.last_heartbeat().filter(known)
        })
        .await;
        let client = WsClientBuilder::default().build(format!("ws://{}", heartbeat.address));
        client.await.expect("the agent accepts connections")
    }

    /// Discards the last heartbeat.
    pub fn clear_last_heartbeat(&self) {
        self.0.lock().unwrap().last = None;
    }
}

/// Waits until `poll` returns a value, for at most [`MAX_WAIT`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    let until = Instant::now() + MAX_WAIT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// An executor, its agent and the entry that the agent reports to.
pub struct TestSetup<A = AgentDaemon<HttpExecutor, Serving>> {
    pub executor: StandinExecutor,
    pub entry: FakeEntry,
    pub entry_server: RpcServer,
    pub agent: A,
    pub decider: WsClient,
}

pub fn agent_settings(executor: SocketAddr, entry: SocketAddr) -> AgentSettings {
    AgentSettings::builder()
        .target(TargetName::new("target-1").unwrap())
        .zone(ZoneName::new("az-1").unwrap())
        .rack(RackName::new("rack-1").unwrap())
        .listen(ANY_PORT)
        .executor(executor)
        .entries(vec![entry])
        .heartbeat_interval(Duration::from_millis(50))
        .build()
}

pub async fn start_agent(
    executor: SocketAddr,
    entry: SocketAddr,
) -> AgentDaemon<HttpExecutor, Serving> {
    let settings = agent_settings(executor, entry);
    let daemon = AgentDaemon::new(settings, HttpExecutor::new(executor), discard_logger());
    daemon.serve().await.expect("loopback can be bound")
}

impl TestSetup {
    pub async fn start() -> Self {
        Self::start_with(Duration::from_secs(60), start_agent).await
    }
}

impl<A> TestSetup<A> {
    /// Starts an agent with `start_agent`, and an entry whose responses keep it fresh for
    /// `freshness`.
    pub async fn start_with(
        freshness: Duration,
        start_agent: impl AsyncFnOnce(SocketAddr, SocketAddr) -> A,
    ) -> Self {
        let executor = StandinExecutor::start(ANY_PORT, 8).await.unwrap();
        let (entry, entry_server) = FakeEntry::start().await;
        entry.change_response(|it| it.freshness = freshness);
        let agent = start_agent(executor.address(), entry_server.address()).await;
        let decider = entry.connect_decider().await;
        Self {
            executor,
            entry,
            entry_server,
            agent,
            decider,
        }
    }

    /// Waits until the agent's gate refuses new members with this kind of error.
    pub async fn wait_gate_refuses(&self, kind: ErrorKind) {
        let attempt = Cell::new(0);
        let refusal = async || {
            attempt.set(attempt.get() + 1);
            let probe = member("probe", attempt.get(), 0);
            let refused = self.hold(hold_order(&probe, 0x80, "")).await.err();
            self.abort(&probe, EPOCH).await.expect("aborted");
            // Many aborted holds in a short time are also refused, as busy.
            refused.filter(|it| it.kind == kind)
        };
        eventually("a refusal by the gate", refusal).await;
    }

    pub async fn hold(&self, order: HoldOrder) -> Result<(), RequestError> {
        let held = self.decider.hold(order.into()).await;
        held.map_err(|error| request_error(&error))
    }

    pub async fn release(&self, member: &MemberKey, epoch: i64) -> Result<(), RequestError> {
        let released = self.decider.release(member.clone().into(), epoch).await;
        released.map_err(|error| request_error(&error))
    }

    pub async fn abort(&self, member: &MemberKey, epoch: i64) -> Result<(), RequestError> {
        let aborted = self.decider.abort(member.clone().into(), epoch).await;
        aborted.map_err(|error| request_error(&error))
    }
}

pub fn member(id: &str, attempt: u32, index: u16) -> MemberKey {
    let key = RequestKey {
        organisation: Organisation::new("letrafa").unwrap(),
        id: RequestId::new(id).unwrap(),
    };
    let attempt = AttemptKey { key, attempt };
    MemberKey { attempt, index }
}

pub fn hold_order(member: &MemberKey, accelerators: u8, payload: &str) -> HoldOrder {
    HoldOrder::builder()
        .member(member.clone())
        .epoch(Epoch(EPOCH))
        .accelerators(AcceleratorSet::from_bits(accelerators))
        .gang_tasks(2)
        .payload(payload.into())
        .hold_for(Duration::from_secs(5))
        .build()
}
