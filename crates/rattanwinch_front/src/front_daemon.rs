use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poem::Route;
use poem::endpoint::make_sync;
use poem::get;
use rattanwinch_fleet::FrontRpcServer as _;
use rattanwinch_fleet::MAX_PEER_CONNECTIONS;
use rattanwinch_http_server::Handler;
use rattanwinch_http_server::HttpServer;
use rattanwinch_http_server::PortLimits;
use rattanwinch_http_server::poem_handler;
use rattanwinch_peers::RpcServer;
use rattanwinch_runtime::MetricsText;
use rattanwinch_runtime::SiteDaemon;
use rattanwinch_runtime::install_metrics;
use rattanwinch_runtime::supervise;
use rattanwinch_site_callers::caller_endpoint;
use rattanwinch_site_callers::readiness_endpoint;
use slog::Logger;
use slog::info;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::FrontSettings;
use crate::front_state::FrontState;
use crate::leadership::run_leadership;
use crate::rpc::PeerServer;

/// Result of starting the daemon.
pub type Result<T> = std::result::Result<T, eyre::Report>;

/// Offset of the metrics port from the port for peers.
const METRICS_PORT_OFFSET: u16 = 1;

/// How long a stopping front still accepts new connections. The balancer notices after two failed
/// readiness checks a second apart.
const CONNECTION_DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// A running front daemon.
pub struct FrontDaemon {
    state: Arc<FrontState>,
    servers: JoinSet<()>,
    leadership: JoinSet<()>,
    rpc: RpcServer,
    closing: CancellationToken,
}

impl fmt::Debug for FrontDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrontDaemon")
            .field("vm", &self.state.settings.vm.name)
            .finish_non_exhaustive()
    }
}

impl SiteDaemon for FrontDaemon {
    type Settings = FrontSettings;

    const PROCESS: &'static str = "rattanwinch-front";

    /// Starts the servers for callers, the balancer, peers and metrics, then joins the leader
    /// election.
    async fn start(settings: FrontSettings, log: Logger) -> Result<Self> {
        let state = Arc::new(FrontState::new(settings, log));
        let peers = PeerServer {
            state: Arc::clone(&state),
        };
        let rpc = RpcServer::builder()
            .address(state.address)
            .max_connections(MAX_PEER_CONNECTIONS)
            .limits(&state.settings.http)
            .log(state.log.clone())
            .start(peers.into_rpc())
            .await?;
        let mut daemon = Self {
            servers: JoinSet::new(),
            leadership: JoinSet::new(),
            rpc,
            closing: CancellationToken::new(),
            state,
        };
        let state = Arc::clone(&daemon.state);
        let callers = state.settings.caller_listen;
        let limits = &state.settings.http;
        let handler = poem_handler(caller_endpoint(&state));
        daemon
            .serve("callers", callers, limits.caller_port(), handler)
            .await?;
        let ready = state.settings.ready_listen;
        let handler = poem_handler(readiness_endpoint(&state));
        daemon
            .serve("readiness", ready, limits.service_port(), handler)
            .await?;
        let metrics = SocketAddr::new(
            state.address.ip(),
            state.address.port() + METRICS_PORT_OFFSET,
        );
        let handler = poem_handler(metrics_route(install_metrics()));
        daemon
            .serve("metrics", metrics, limits.service_port(), handler)
            .await?;
        let elected = Arc::clone(&state);
        daemon
            .leadership
            .spawn(supervise(state.log.clone(), "leadership", move || {
                run_leadership(Arc::clone(&elected))
            }));
        info!(state.log, "started"; "vm" => &*state.settings.vm.name, "address" => %state.address,
            "callers" => %state.settings.caller_listen, "store" => %state.settings.vm.store);
        Ok(daemon)
    }

    /// Reloads the settings file and adds its seeds. All other settings take effect on restart
    /// only.
    fn reload(&self) {
        let state = &self.state;
        match FrontSettings::read(&state.settings.vm.source) {
            Ok(settings) => {
                settings
                    .vm
                    .seed_addresses()
                    .for_each(|seed| state.add_front(seed));
                info!(state.log, "settings reloaded"; "seeds" => ?settings.vm.seeds);
            }
            Err(errors) => {
                slog::error!(state.log, "settings not reloaded; the previous ones stay in force";
                    "errors" => %errors);
            }
        }
    }

    /// Stops gracefully: gives up leadership, waits until the balancer sends no new connections,
    /// and finishes the calls in progress.
    async fn stop(mut self) {
        let grace = self.state.settings.grace.saturating_sub(EXIT_MARGIN);
        let deadline = tokio::time::Instant::now() + grace;
        info!(self.state.log, "stopping"; "vm" => &*self.state.settings.vm.name);
        self.state.stop();
        while self.leadership.join_next().await.is_some() {}
        // Callers still send calls, which have to be forwarded to the next leader.
        self.leadership
            .spawn(crate::leadership::follow_leader(Arc::clone(&self.state)));
        tokio::time::sleep_until(deadline.min(tokio::time::Instant::now() + CONNECTION_DRAIN_TIME))
            .await;
        self.closing.cancel();
        let finished = async { while self.servers.join_next().await.is_some() {} };
        let finished = tokio::time::timeout_at(deadline, finished).await.is_ok();
        self.leadership.shutdown().await;
        self.rpc.stop().await;
        info!(self.state.log, "stopped";
            "vm" => &*self.state.settings.vm.name, "finished" => finished);
    }
}

impl FrontDaemon {
    /// Binds the address before returning, so that callers can connect and a bind error fails the
    /// start.
    async fn serve(
        &mut self,
        what: &'static str,
        address: SocketAddr,
        limits: PortLimits,
        handler: impl Handler,
    ) -> Result<()> {
        let server = HttpServer::bind(address).await?;
        let server = server.with_handler(what, limits, handler, self.state.log.clone());
        self.servers
            .spawn(server.run(self.closing.clone(), self.state.settings.grace));
        Ok(())
    }
}

fn metrics_route(text: MetricsText) -> Route {
    Route::new().at("/metrics", get(make_sync(move |_| text.render())))
}
