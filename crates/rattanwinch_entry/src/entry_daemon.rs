use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr as _;
use jsonrpsee::Methods;
use poem::Server;
use poem::listener::Acceptor as _;
use poem::listener::Listener as _;
use poem::listener::TcpListener;
use rattanwinch_peers::EntryRpcServer as _;
use rattanwinch_peers::JobRpcServer as _;
use rattanwinch_peers::PeerRpcServer as _;
use rattanwinch_peers::RpcServer;
use rattanwinch_platform::Store;
use rattanwinch_runtime::MetricsText;
use rattanwinch_runtime::Shutdown;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;

use crate::EntrySettings;
use crate::burn;
use crate::control_reads;
use crate::entry_state::EntryState;
use crate::heartbeats::EntryCalls;
use crate::http;
use crate::zones;
use crate::zones::JobCalls;
use crate::zones::PeerCalls;

/// What starting and stopping an entry returns.
pub type Result<T> = eyre::Result<T>;

/// Connections of agents and entries: 5,700 agents in the largest region that is planned for.
const MAX_RPC_CONNECTIONS: u32 = 8192;

/// The time between two sweeps of targets that have been silent for long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// How often a draining entry looks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// An entry that hasn't been started.
#[derive(Debug)]
pub struct Starting {
    metrics: MetricsText,
}

/// An entry that takes requests.
#[derive(Debug)]
pub struct Serving {
    http: SocketAddr,
    rpc: RpcServer,
    shutdown: Shutdown,
}

/// An entry that tells the balancer to stop and finishes what it has.
#[derive(Debug)]
pub struct Draining {
    rpc: RpcServer,
    shutdown: Shutdown,
}

/// An entry process; `L` says where it stands in its life.
#[derive(Debug)]
pub struct EntryDaemon<S, L> {
    state: Arc<EntryState<S>>,
    stage: L,
}

impl<S: Store> EntryDaemon<S, Starting> {
    /// Makes an entry in front of `store`.
    #[must_use]
    pub fn new(settings: EntrySettings, store: S, metrics: MetricsText, logger: Logger) -> Self {
        Self {
            state: EntryState::new(settings, store, logger),
            stage: Starting { metrics },
        }
    }

    /// Listens for agents and callers.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn serve(self) -> Result<EntryDaemon<S, Serving>> {
        let Self { state, stage } = self;
        let shutdown = Shutdown::new();
        let rpc = serve_rpc(&state).await?;
        let http = serve_http(&state, stage.metrics, &shutdown).await?;
        shutdown.spawn(sweep(Arc::clone(&state), shutdown.clone()));
        shutdown.spawn(control_reads::run(Arc::clone(&state), shutdown.clone()));
        shutdown.spawn(burn::run(Arc::clone(&state), shutdown.clone()));
        shutdown.spawn(zones::run_roles(Arc::clone(&state), shutdown.clone()));
        info!(state.logger, "entry serves"; "entry" => %state.settings.entry,
            "incarnation" => state.incarnation.0, "http" => %http, "rpc" => %rpc.address());
        Ok(EntryDaemon {
            state,
            stage: Serving {
                http,
                rpc,
                shutdown,
            },
        })
    }
}

impl<S: Store> EntryDaemon<S, Serving> {
    /// Where callers connect.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.stage.http
    }

    /// Where agents connect.
    #[must_use]
    pub fn rpc_address(&self) -> SocketAddr {
        self.stage.rpc.address()
    }

    /// Whether the balancer may send requests: the configuration was read and no stop was asked.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.ready.load(Ordering::Acquire)
    }

    /// The number of targets that have announced themselves and are connected.
    #[must_use]
    pub fn connected_targets(&self) -> usize {
        self.state.fleet.connected()
    }

    /// The availability zones that this entry decides now.
    #[must_use]
    pub fn decided_zones(&self) -> Vec<ZoneName> {
        let summaries = self.state.zones.summaries();
        summaries.into_iter().map(|summary| summary.zone).collect()
    }

    /// What the deciders of all zones last said, as far as this entry has heard.
    #[must_use]
    pub fn zone_summaries(&self) -> Vec<ZoneSummary> {
        self.state.zone_summaries()
    }

    /// Stops without handing anything over, as if the process had died.
    pub async fn stop_abruptly(self) {
        let Serving { rpc, shutdown, .. } = self.stage;
        shutdown.request();
        rpc.stop().await;
    }

    /// Becomes not ready, but goes on serving what still arrives.
    #[must_use]
    pub fn drain(self) -> EntryDaemon<S, Draining> {
        self.state.draining.store(true, Ordering::Release);
        self.state.ready.store(false, Ordering::Release);
        info!(self.state.logger, "entry drains"; "entry" => %self.state.settings.entry);
        let Serving { rpc, shutdown, .. } = self.stage;
        EntryDaemon {
            state: self.state,
            stage: Draining { rpc, shutdown },
        }
    }
}

impl<S: Store> EntryDaemon<S, Draining> {
    /// Waits until the balancer has stopped sending and the requests have ended, then stops.
    pub async fn finish(self) {
        let Draining { rpc, shutdown } = self.stage;
        let settings = &self.state.settings;
        tokio::time::sleep(settings.drain_wait).await;
        let ended = tokio::time::timeout(settings.drain_limit, self.state.requests_ended()).await;
        if ended.is_err() {
            warn!(self.state.logger, "drain limit passed with requests still running";
                "in_flight" => self.state.in_flight.load(Ordering::Acquire));
        }
        shutdown.request();
        shutdown.wait_finished(settings.drain_limit).await;
        rpc.stop().await;
    }
}

impl<S: Store> EntryState<S> {
    async fn requests_ended(&self) {
        while self.in_flight.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

async fn serve_rpc<S: Store>(state: &Arc<EntryState<S>>) -> Result<RpcServer> {
    let listen = state.settings.rpc_listen;
    let mut calls = Methods::from(EntryCalls(Arc::clone(state)).into_rpc());
    calls.merge(PeerCalls(Arc::clone(state)).into_rpc())?;
    calls.merge(JobCalls(Arc::clone(state)).into_rpc())?;
    let rpc = RpcServer::start(listen, MAX_RPC_CONNECTIONS, calls)
        .await
        .wrap_err_with(|| format!("can't listen on {listen}"))?;
    let advertised = state.settings.rpc_advertise;
    let reached_at = if advertised.port() == 0 {
        rpc.address()
    } else {
        advertised
    };
    // The cell is empty before this, the only place that sets it.
    let _ = state.rpc_address.set(reached_at);
    Ok(rpc)
}

async fn serve_http<S: Store>(
    state: &Arc<EntryState<S>>,
    metrics: MetricsText,
    shutdown: &Shutdown,
) -> Result<SocketAddr> {
    let listen = state.settings.http_listen;
    let acceptor = TcpListener::bind(listen)
        .into_acceptor()
        .await
        .wrap_err_with(|| format!("can't listen on {listen}"))?;
    let local = acceptor.local_addr();
    let address = local
        .iter()
        .find_map(|local| local.as_socket_addr().copied());
    let address = address.ok_or_else(|| eyre::eyre!("no TCP address behind {listen}"))?;
    let app = http::routes(state, metrics);
    let (logger, stop) = (state.logger.clone(), shutdown.clone());
    let limit = state.settings.drain_limit;
    shutdown.spawn(async move {
        let server = Server::new_with_acceptor(acceptor);
        let served = server.run_with_graceful_shutdown(
            app,
            async move { stop.requested().await },
            Some(limit),
        );
        if let Err(error) = served.await {
            error!(logger, "HTTP server failed"; "error" => %error);
        }
    });
    Ok(address)
}

/// Forgets targets that have been silent for long.
async fn sweep<S: Store>(state: Arc<EntryState<S>>, shutdown: Shutdown) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = shutdown.requested() => return,
        }
        state.fleet.forget_silent(state.clock.now());
    }
}
