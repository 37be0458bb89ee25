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
use rattanwinch_site_callers::caller_endpoint;
use rattanwinch_site_callers::readiness_endpoint;
use slog::Logger;
use slog::info;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::FrontSettings;
use crate::front_state::FrontState;
use crate::leadership::take_part;
use crate::rpc::PeerServer;

/// What starting the daemon returns.
pub type Result<T> = std::result::Result<T, eyre::Report>;

/// The metrics are on the port after the one for peers.
const METRICS_PORT_OFFSET: u16 = 1;

/// How long a stopping front still takes new connections: the balancer notices after two misses
/// a second apart.
const LINGER: Duration = Duration::from_millis(2500);

/// What is kept of the grace for the end of the process itself.
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

    /// Listens to callers, the balancer and peers, and takes part in scheduling.
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
        daemon.leadership.spawn(take_part(Arc::clone(&state)));
        info!(state.log, "started"; "vm" => &*state.settings.vm.name, "address" => %state.address,
            "callers" => %state.settings.caller_listen, "store" => %state.settings.vm.store);
        Ok(daemon)
    }

    /// Reads the settings again and takes over the seeds; all else needs a new process.
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
                slog::error!(state.log, "settings not reloaded"; "errors" => %errors);
            }
        }
    }

    /// Stops gracefully: hands over scheduling, waits until the balancer sends nothing new, and
    /// finishes what runs.
    async fn stop(mut self) {
        let grace = self.state.settings.grace.saturating_sub(EXIT_MARGIN);
        let deadline = tokio::time::Instant::now() + grace;
        info!(self.state.log, "stopping"; "vm" => &*self.state.settings.vm.name);
        self.state.stop();
        while self.leadership.join_next().await.is_some() {}
        // Calls still come and have to reach the next scheduler.
        self.leadership
            .spawn(crate::leadership::follow(Arc::clone(&self.state)));
        tokio::time::sleep_until(deadline.min(tokio::time::Instant::now() + LINGER)).await;
        self.closing.cancel();
        let finished = async { while self.servers.join_next().await.is_some() {} };
        let finished = tokio::time::timeout_at(deadline, finished).await.is_ok();
        self.leadership.shutdown().await;
        self.rpc.stop().await;
        info!(self.state.log, "stopped"; "vm" => &*self.state.settings.vm.name, "finished" => finished);
    }
}

impl FrontDaemon {
    /// Listens before it returns, so that callers can connect and errors end the start.
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
                slog::error!(log, "not served"; "what" => what, "address" => %address,
                    "error" => %error);
            }
        });
        Ok(())
    }
}

fn metrics_route(text: MetricsText) -> Route {
    Route::new().at("/metrics", get(make_sync(move |_| text.render())))
}
