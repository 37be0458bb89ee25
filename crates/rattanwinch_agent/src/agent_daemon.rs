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
use crate::agent_state::AgentState;
use crate::gang_calls::GangCalls;
use crate::heartbeats;
use crate::member_owner::MemberOwner;
use crate::members::MemberInbox;
use crate::members::Members;
use crate::rpc::AgentCalls;

/// What starting and stopping an agent returns.
pub type Result<T> = eyre::Result<T>;

/// The time between two sweeps of what may be forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// How often a draining agent looks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// An agent that hasn't been started.
#[derive(Debug)]
pub struct Starting {
    logger: Logger,
    inbox: MemberInbox,
}

/// An agent that takes work.
#[derive(Debug)]
pub struct Serving {
    server: RpcServer,
    shutdown: Shutdown,
}

/// An agent that takes no new work and finishes what it has.
#[derive(Debug)]
pub struct Draining {
    server: RpcServer,
    shutdown: Shutdown,
}

/// An agent process; the type parameter says where it stands in its life.
#[derive(Debug)]
pub struct AgentDaemon<E, S> {
    state: Arc<AgentState<E>>,
    stage: S,
}

impl<E: Executor> AgentDaemon<E, Starting> {
    /// Makes an agent in front of `executor`.
    #[must_use]
    pub fn new(settings: AgentSettings, executor: E, logger: Logger) -> Self {
        let incarnation = Incarnation(rand::random());
        let (members, inbox) = Members::channel();
        let state = AgentState::new(settings, incarnation, executor, members, logger.clone());
        Self {
            state,
            stage: Starting { logger, inbox },
        }
    }

    /// Listens for calls. Heartbeats begin once the executor's tasks have been adopted, so that
    /// no entry takes an agent that was replaced for one without members.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn serve(self) -> Result<AgentDaemon<E, Serving>> {
        let listen = self.state.settings.listen;
        // Entries hold one connection each, and a second one while they replace it.
        let max_connections = 256;
        let mut calls = AgentCalls(Arc::clone(&self.state)).into_rpc();
        calls
            .merge(GangCalls(Arc::clone(&self.state)).into_rpc())
            .wrap_err("two interfaces have a method of the same name")?;
        let server = RpcServer::start(listen, max_connections, calls)
            .await
            .wrap_err_with(|| format!("can't listen on {listen}"))?;
        let shutdown = Shutdown::new();
        let Starting { logger, inbox } = self.stage;
        let owner = MemberOwner::new(Arc::clone(&self.state), inbox);
        shutdown.spawn(owner.run(shutdown.clone()));
        let advertised = self.state.settings.advertise;
        let reached_at = if advertised.port() == 0 {
            server.address()
        } else {
            advertised
        };
        let beats = heartbeats::run(Arc::clone(&self.state), reached_at, shutdown.clone());
        shutdown.spawn(beats);
        shutdown.spawn(sweep(Arc::clone(&self.state), shutdown.clone()));
        info!(logger, "agent serves"; "target" => %self.state.settings.target,
            "zone" => %self.state.settings.zone, "listen" => %server.address());
        Ok(AgentDaemon {
            state: self.state,
            stage: Serving { server, shutdown },
        })
    }
}

impl<E: Executor> AgentDaemon<E, Serving> {
    /// Where the agent takes calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.stage.server.address()
    }

    /// Refuses new work from now on and tells the entries so.
    #[must_use]
    pub fn drain(self) -> AgentDaemon<E, Draining> {
        self.state.set_leaving();
        info!(self.state.logger, "agent drains"; "target" => %self.state.settings.target);
        let Serving { server, shutdown } = self.stage;
        AgentDaemon {
            state: self.state,
            stage: Draining { server, shutdown },
        }
    }
}

impl<E: Executor> AgentDaemon<E, Draining> {
    /// Waits until the entries know and the plain requests have ended, then stops.
    pub async fn finish(self) {
        let Draining { server, shutdown } = self.stage;
        let settings = &self.state.settings;
        // Within two intervals every entry that can be reached has had a heartbeat.
        tokio::time::sleep(settings.heartbeat_interval * 2).await;
        let ended = tokio::time::timeout(settings.drain_limit, self.state.requests_ended()).await;
        if ended.is_err() {
            warn!(self.state.logger, "drain limit passed with requests still running";
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
    async fn requests_ended(&self) {
        while self.in_flight.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

/// Forgets what no retry can ask for any longer.
async fn sweep<E: Executor>(state: Arc<AgentState<E>>, shutdown: Shutdown) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = shutdown.requested() => return,
        }
        state.attempts.forget_expired(state.clock.now());
    }
}
