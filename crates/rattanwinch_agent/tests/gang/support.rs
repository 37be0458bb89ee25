//! An agent before a stand-in for an executor, and a fake entry that decides its zone.

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

/// Whatever is waited for comes within this time on a busy machine.
pub const BOUND: Duration = Duration::from_secs(20);

/// The epoch that the fake entry decides at.
pub const EPOCH: i64 = 7;

struct EntryState {
    response: HeartbeatResponse,
    last: Option<Heartbeat>,
    count: u64,
}

/// An entry that answers each heartbeat as it is told to.
#[derive(Clone)]
pub struct FakeEntry(Arc<Mutex<EntryState>>);

#[async_trait]
impl EntryRpcServer for FakeEntry {
    async fn heartbeat(&self, wire: WireHeartbeat) -> RpcResult<WireHeartbeatResponse> {
        let mut state = self.0.lock().unwrap();
        state.last = Some(Heartbeat::try_from(wire).expect("an agent sends readable heartbeats"));
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
        let server = RpcServer::start(ANY_PORT, 16, entry.clone().into_rpc()).await;
        (entry, server.expect("loopback can be bound"))
    }

    pub fn respond(&self, change: impl FnOnce(&mut HeartbeatResponse)) {
        change(&mut self.0.lock().unwrap().response);
    }

    pub fn last(&self) -> Option<Heartbeat> {
        self.0.lock().unwrap().last.clone()
    }

    /// The phase that the latest heartbeat reports of a member.
    pub fn phase(&self, member: &MemberKey) -> Option<MemberPhase> {
        let members = self.last()?.members;
        let report = members.into_iter().find(|report| report.member == *member);
        Some(report?.phase)
    }

    /// Waits until a heartbeat reports the member in the wanted phase.
    pub async fn wait_phase(&self, member: &MemberKey, wanted: &MemberPhase) {
        let what = format!("{member} as {wanted:?}");
        let found = async || self.phase(member).filter(|it| it == wanted);
        eventually(&what, found).await;
    }

    /// Waits until a heartbeat doesn't report the member any longer.
    pub async fn wait_unreported(&self, member: &MemberKey) {
        let gone = async || self.phase(member).is_none().then_some(());
        eventually(&format!("{member} is unreported"), gone).await;
    }

    /// Waits for this many heartbeats that are answered from now on.
    pub async fn heartbeats(&self, count: u64) {
        let until = self.0.lock().unwrap().count + count;
        let counted = async || (self.0.lock().unwrap().count >= until).then_some(());
        eventually("heartbeats", counted).await;
    }

    /// Connects to the agent, once it has taken in a response: it then knows the epoch.
    pub async fn connect_decider(&self) -> WsClient {
        let known = |beat: &Heartbeat| beat.epoch == Epoch(EPOCH);
        let beat = eventually("the epoch", async || self.last().filter(known)).await;
        let client = WsClientBuilder::default().build(format!("ws://{}", beat.address));
        client.await.expect("the agent accepts connections")
    }

    /// Forgets the heartbeats so far.
    pub fn forget_last(&self) {
        self.0.lock().unwrap().last = None;
    }
}

/// Waits until `found` gives a value, at most [`BOUND`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut found: impl FnMut() -> F,
) -> T {
    let until = Instant::now() + BOUND;
    loop {
        if let Some(value) = found().await {
            return value;
        }
        assert!(Instant::now() < until, "not within the bound: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// An executor, an agent before it and the entry that the agent reports to.
pub struct Rig<A = AgentDaemon<HttpExecutor, Serving>> {
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

impl Rig {
    pub async fn start() -> Self {
        Self::start_with(Duration::from_secs(60), start_agent).await
    }
}

impl<A> Rig<A> {
    /// Starts an agent by `start_agent`, with an entry that keeps it fresh for so long.
    pub async fn start_with(
        freshness: Duration,
        start_agent: impl AsyncFnOnce(SocketAddr, SocketAddr) -> A,
    ) -> Self {
        let executor = StandinExecutor::start(ANY_PORT, 8).await.unwrap();
        let (entry, entry_server) = FakeEntry::start().await;
        entry.respond(|it| it.freshness = freshness);
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

    /// Waits until the agent's gate refuses new members.
    pub async fn gate_closed(&self, kind: ErrorKind) {
        let attempt = Cell::new(0);
        let refusal = async || {
            attempt.set(attempt.get() + 1);
            let probe = member("probe", attempt.get(), 0);
            let refused = self.hold(hold_order(&probe, 0x80, "")).await.err();
            self.abort(&probe, EPOCH).await.expect("aborted");
            // Many aborted holds in a short time are refused as busy as well.
            refused.filter(|it| it.kind == kind)
        };
        eventually("a closed gate", refusal).await;
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
