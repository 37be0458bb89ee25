use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poem::Endpoint;
use poem::IntoEndpoint;
use poem::Route;
use poem::Server;
use poem::endpoint::make_sync;
use poem::get;
use poem::listener::Listener as _;
use poem::listener::TcpListener;
use rattanwinch_fleet::FrontRpcServer as _;
use rattanwinch_fleet::MAX_PEER_CONNECTIONS;
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
        let rpc = RpcServer::start(state.address, MAX_PEER_CONNECTIONS, peers.into_rpc()).await?;
        let mut daemon = Self {
            servers: JoinSet::new(),
            leadership: JoinSet::new(),
            rpc,
            closing: CancellationToken::new(),
            state,
        };
        let state = Arc::clone(&daemon.state);
        let callers = state.settings.caller_listen;
        daemon
            .serve("callers", callers, caller_endpoint(&state))
            .await?;
        let ready = state.settings.ready_listen;
        daemon
            .serve("readiness", ready, readiness_endpoint(&state))
            .await?;
        let metrics = SocketAddr::new(
            state.address.ip(),
            state.address.port() + METRICS_PORT_OFFSET,
        );
        let route = metrics_route(install_metrics());
        daemon.serve("metrics", metrics, route).await?;
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
    async fn serve<E>(&mut self, what: &'static str, address: SocketAddr, endpoint: E) -> Result<()>
    where
        E: IntoEndpoint + Send + 'static,
        E::Endpoint: Endpoint + 'static,
    {
        let closing = self.closing.clone();
        let log = self.state.log.clone();
        let grace = self.state.settings.grace;
        let acceptor = TcpListener::bind(address).into_acceptor().await?;
        self.servers.spawn(async move {
            let server = Server::new_with_acceptor(acceptor);
            let closed = closing.cancelled_owned();
            let ended = server.run_with_graceful_shutdown(endpoint, closed, Some(grace));
            if let Err(error) = ended.await {
                slog::error!(log, "server ended with an error";
                    "what" => what, "address" => %address,
                    "error" => %error);
            }
        });
        Ok(())
    }
}

fn metrics_route(text: MetricsText) -> Route {
    Route::new().at("/metrics", get(make_sync(move |_| text.render())))
}
