use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr as _;
use jsonrpsee::Methods;
use rattanwinch_http_server::HttpServer;
use rattanwinch_http_server::poem_handler_with_refusals;
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
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;

use crate::EntrySettings;
use crate::burn;
use crate::control_reads;
use crate::entry_state::EntryState;
use crate::heartbeats::EntryRpcHandler;
use crate::http;
use crate::zones;
use crate::zones::JobRpcHandler;
use crate::zones::PeerRpcHandler;

/// The result of starting and stopping an entry.
pub type Result<T> = eyre::Result<T>;

/// The maximum number of RPC connections from agents and entries. The largest planned region has
/// 5,700 agents.
const MAX_RPC_CONNECTIONS: u32 = 8192;

/// The interval at which targets without recent heartbeats are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// The interval at which a draining entry checks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry that has not been started.
#[derive(Debug)]
pub struct Starting {
    metrics: MetricsText,
}

/// An entry that serves requests.
#[derive(Debug)]
pub struct Serving {
    http: SocketAddr,
    rpc: RpcServer,
    shutdown: Shutdown,
}

/// An entry that reports itself as not ready and finishes its current requests.
#[derive(Debug)]
pub struct Draining {
    rpc: RpcServer,
    shutdown: Shutdown,
}

/// An entry process; `L` is its life cycle stage.
#[derive(Debug)]
pub struct EntryDaemon<S, L> {
    state: Arc<EntryState<S>>,
    stage: L,
}

impl<S: Store> EntryDaemon<S, Starting> {
    /// Creates an entry that uses `store`.
    #[must_use]
    pub fn new(settings: EntrySettings, store: S, metrics: MetricsText, logger: Logger) -> Self {
        Self {
            state: EntryState::new(settings, store, logger),
            stage: Starting { metrics },
        }
    }

    /// Starts listening for agents and callers.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn serve(self) -> Result<EntryDaemon<S, Serving>> {
        let Self { state, stage } = self;
        let shutdown = Shutdown::new();
        let rpc = serve_rpc(&state).await?;
        let http = serve_http(&state, stage.metrics, &shutdown).await?;
        shutdown.spawn(remove_silent_targets(Arc::clone(&state), shutdown.clone()));
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
    /// The address at which callers connect.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.stage.http
    }

    /// The address at which agents connect.
    #[must_use]
    pub fn rpc_address(&self) -> SocketAddr {
        self.stage.rpc.address()
    }

    /// Whether the load balancer may send requests: the configuration was read and no shutdown was
    /// requested.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.ready.load(Ordering::Acquire)
    }

    /// The number of targets that have sent a heartbeat and are connected.
    #[must_use]
    pub fn connected_targets(&self) -> usize {
        self.state.fleet.connected_count()
    }

    /// The availability zones that this entry decides now.
    #[must_use]
    pub fn decided_zones(&self) -> Vec<ZoneName> {
        let summaries = self.state.zones.summaries();
        summaries.into_iter().map(|summary| summary.zone).collect()
    }

    /// The latest summaries of all zones that this entry has received from their deciders.
    #[must_use]
    pub fn zone_summaries(&self) -> Vec<ZoneSummary> {
        self.state.zone_summaries()
    }

    /// Stops without releasing the zones, as if the process had been killed.
    pub async fn stop_abruptly(self) {
        let Serving { rpc, shutdown, .. } = self.stage;
        shutdown.request();
        rpc.stop().await;
    }

    /// Reports the entry as not ready, but still serves requests that arrive.
    #[must_use]
    pub fn drain(self) -> EntryDaemon<S, Draining> {
        self.state.draining.store(true, Ordering::Release);
        self.state.ready.store(false, Ordering::Release);
        info!(self.state.logger, "entry is draining"; "entry" => %self.state.settings.entry);
        let Serving { rpc, shutdown, .. } = self.stage;
        EntryDaemon {
            state: self.state,
            stage: Draining { rpc, shutdown },
        }
    }
}

impl<S: Store> EntryDaemon<S, Draining> {
    /// Waits until the load balancer has stopped sending and the requests have ended, then stops.
    pub async fn finish(self) {
        let Draining { rpc, shutdown } = self.stage;
        let settings = &self.state.settings;
        tokio::time::sleep(settings.drain_wait).await;
        let ended =
            tokio::time::timeout(settings.drain_limit, self.state.wait_for_requests()).await;
        if ended.is_err() {
            warn!(self.state.logger, "requests still running after drain_limit_ms; stopping anyway";
                "in_flight" => self.state.in_flight.load(Ordering::Acquire));
        }
        shutdown.request();
        shutdown.wait_finished(settings.drain_limit).await;
        rpc.stop().await;
    }
}

impl<S: Store> EntryState<S> {
    async fn wait_for_requests(&self) {
        while self.in_flight.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

async fn serve_rpc<S: Store>(state: &Arc<EntryState<S>>) -> Result<RpcServer> {
    let listen = state.settings.rpc_listen;
    let mut calls = Methods::from(EntryRpcHandler(Arc::clone(state)).into_rpc());
    calls.merge(PeerRpcHandler(Arc::clone(state)).into_rpc())?;
    calls.merge(JobRpcHandler(Arc::clone(state)).into_rpc())?;
    let rpc = RpcServer::builder()
        .address(listen)
        .max_connections(MAX_RPC_CONNECTIONS)
        .limits(&state.settings.http)
        .log(state.logger.clone())
        .start(calls)
        .await
        .wrap_err_with(|| format!("failed to listen on {listen}"))?;
    let configured = state.settings.rpc_advertise;
    let advertised_address = if configured.port() == 0 {
        rpc.address()
    } else {
        configured
    };
    // The cell is empty: nothing else sets it.
    let _ = state.rpc_address.set(advertised_address);
    Ok(rpc)
}

async fn serve_http<S: Store>(
    state: &Arc<EntryState<S>>,
    metrics: MetricsText,
    shutdown: &Shutdown,
) -> Result<SocketAddr> {
    let listen = state.settings.http_listen;
    let server = HttpServer::bind(listen)
        .await
        .wrap_err_with(|| format!("failed to listen on {listen}"))?;
    let address = server.address();
    let handler = poem_handler_with_refusals(http::routes(state, metrics), http::refusal_body);
    let limits = state.settings.http.caller_port();
    let server = server.with_handler("http", limits, handler, state.logger.clone());
    let closing = CancellationToken::new();
    let (stop, closed) = (shutdown.clone(), closing.clone().drop_guard());
    let limit = state.settings.drain_limit;
    shutdown.spawn(async move {
        let stopped = async {
            stop.requested().await;
            drop(closed);
        };
        tokio::join!(server.run(closing, limit), stopped);
    });
    Ok(address)
}

/// Periodically removes targets without recent heartbeats.
async fn remove_silent_targets<S: Store>(state: Arc<EntryState<S>>, shutdown: Shutdown) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = shutdown.requested() => return,
        }
        state.fleet.remove_silent(state.clock.now());
    }
}
