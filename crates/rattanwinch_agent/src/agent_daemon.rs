use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr as _;
use rattanwinch_peers::AgentRpcServer as _;
use rattanwinch_peers::GangRpcServer as _;
use rattanwinch_peers::RpcServer;
use rattanwinch_runtime::Shutdown;
use rattanwinch_targets::Executor;
use rattanwinch_types::Incarnation;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::AgentSettings;
use crate::agent_rpc_handler::AgentRpcHandler;
use crate::agent_state::AgentState;
use crate::gang_rpc_handler::GangRpcHandler;
use crate::heartbeats;
use crate::member_actor::MemberActor;
use crate::member_handle::MemberHandle;
use crate::member_handle::MemberInbox;

/// The result of starting and stopping an agent.
pub type Result<T> = eyre::Result<T>;

/// The interval at which expired attempts are removed.
const ATTEMPT_EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// The interval at which a draining agent checks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An agent that has not been started.
#[derive(Debug)]
pub struct Starting {
    logger: Logger,
    inbox: MemberInbox,
}

/// An agent that accepts work.
#[derive(Debug)]
pub struct Serving {
    server: RpcServer,
    shutdown: Shutdown,
}

/// An agent that accepts no new work and finishes its current requests.
#[derive(Debug)]
pub struct Draining {
    server: RpcServer,
    shutdown: Shutdown,
}

/// An agent process; `S` is its life cycle stage.
#[derive(Debug)]
pub struct AgentDaemon<E, S> {
    state: Arc<AgentState<E>>,
    stage: S,
}

impl<E: Executor> AgentDaemon<E, Starting> {
    /// Creates an agent that uses `executor`.
    #[must_use]
    pub fn new(settings: AgentSettings, executor: E, logger: Logger) -> Self {
        let incarnation = Incarnation(rand::random());
        let (members, inbox) = MemberHandle::channel();
        let state = AgentState::new(settings, incarnation, executor, members, logger.clone());
        Self {
            state,
            stage: Starting { logger, inbox },
        }
    }

    /// Starts listening for calls. Heartbeats begin once the executor's tasks have been adopted, so
    /// that no entry treats a restarted agent as one without members.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn serve(self) -> Result<AgentDaemon<E, Serving>> {
        let listen = self.state.settings.listen;
        // Each entry has one connection, and a second one while it replaces the first.
        let max_connections = 256;
        let mut calls = AgentRpcHandler(Arc::clone(&self.state)).into_rpc();
        calls
            .merge(GangRpcHandler(Arc::clone(&self.state)).into_rpc())
            .wrap_err("failed to merge the RPC methods: duplicate method name")?;
        let server = RpcServer::builder()
            .address(listen)
            .max_connections(max_connections)
            .limits(&self.state.settings.http)
            .log(self.state.logger.clone())
            .start(calls)
            .await
            .wrap_err_with(|| format!("failed to listen on {listen}"))?;
        let shutdown = Shutdown::new();
        let Starting { logger, inbox } = self.stage;
        let actor = MemberActor::new(Arc::clone(&self.state), inbox);
        shutdown.spawn(actor.run(shutdown.clone()));
        let configured = self.state.settings.advertise;
        let advertised_address = if configured.port() == 0 {
            server.address()
        } else {
            configured
        };
        let heartbeat_loop = heartbeats::run(
            Arc::clone(&self.state),
            advertised_address,
            shutdown.clone(),
        );
        shutdown.spawn(heartbeat_loop);
        shutdown.spawn(remove_expired_attempts(
            Arc::clone(&self.state),
            shutdown.clone(),
        ));
        info!(logger, "agent serves"; "target" => %self.state.settings.target,
            "zone" => %self.state.settings.zone, "listen" => %server.address());
        Ok(AgentDaemon {
            state: self.state,
            stage: Serving { server, shutdown },
        })
    }
}

impl<E: Executor> AgentDaemon<E, Serving> {
    /// The address at which the agent accepts calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.stage.server.address()
    }

    /// Refuses new work from now on, and reports this in the heartbeats.
    #[must_use]
    pub fn drain(self) -> AgentDaemon<E, Draining> {
        self.state.set_leaving();
        info!(self.state.logger, "agent is draining"; "target" => %self.state.settings.target);
        let Serving { server, shutdown } = self.stage;
        AgentDaemon {
            state: self.state,
            stage: Draining { server, shutdown },
        }
    }
}

impl<E: Executor> AgentDaemon<E, Draining> {
    /// Waits until the entries have been notified and the plain requests have ended, then stops.
    pub async fn finish(self) {
        let Draining { server, shutdown } = self.stage;
        let settings = &self.state.settings;
        // Within two intervals every reachable entry has received a heartbeat.
        tokio::time::sleep(settings.heartbeat_interval * 2).await;
        let ended =
            tokio::time::timeout(settings.drain_limit, self.state.wait_for_requests()).await;
        if ended.is_err() {
            warn!(self.state.logger, "requests still running after drain_limit_ms; stopping anyway";
                "in_flight" => self.state.in_flight.load(Ordering::Acquire));
        }
        shutdown.request();
        server.stop().await;
        shutdown
            .wait_finished(settings.heartbeat_interval * 4)
            .await;
    }
}

impl<E: Executor> AgentState<E> {
    async fn wait_for_requests(&self) {
        while self.in_flight.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Periodically removes attempts that can no longer be retried.
async fn remove_expired_attempts<E: Executor>(state: Arc<AgentState<E>>, shutdown: Shutdown) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(ATTEMPT_EXPIRY_INTERVAL) => {}
            () = shutdown.requested() => return,
        }
        state.attempts.remove_expired(state.clock.now());
    }
}
