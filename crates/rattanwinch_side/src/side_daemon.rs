use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentRpcServer as _;
use rattanwinch_fleet::MAX_PEER_CONNECTIONS;
use rattanwinch_http_server::HttpServer;
use rattanwinch_http_server::poem_handler;
use rattanwinch_peers::RpcServer;
use rattanwinch_runtime::SiteDaemon;
use rattanwinch_runtime::supervise;
use rattanwinch_site_executors::MAX_MESSAGE_BYTES;
use rattanwinch_site_executors::executor_endpoint;
use slog::Logger;
use slog::info;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::SideSettings;
use crate::executor_watch::poll_executor;
use crate::orders::OrderServer;
use crate::reporter::report_stop;
use crate::reporter::report_to_leader;
use crate::side_state::SideState;

/// Result of starting the daemon.
pub type Result<T> = std::result::Result<T, eyre::Report>;

/// A running side daemon.
pub struct SideDaemon {
    tasks: JoinSet<()>,
    rpc: RpcServer,
    state: Arc<SideState>,
}

impl fmt::Debug for SideDaemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SideDaemon")
            .field("vm", &self.state.settings.vm.name)
            .finish_non_exhaustive()
    }
}

impl SiteDaemon for SideDaemon {
    type Settings = SideSettings;

    const PROCESS: &'static str = "rattanwinch-side";

    /// Starts the servers for the executor and the fronts, polling and reporting.
    async fn start(settings: SideSettings, log: Logger) -> Result<Self> {
        let address = settings.vm.peer_address();
        let state = Arc::new(SideState::new(settings, address, log));
        let server = OrderServer {
            state: Arc::clone(&state),
        };
        let rpc = RpcServer::builder()
            .address(address)
            .max_connections(MAX_PEER_CONNECTIONS)
            .limits(&state.settings.http)
            .log(state.log.clone())
            .start(server.into_rpc())
            .await?;
        let mut tasks = JoinSet::new();
        // Binds the address before spawning tasks, so that a bind error fails the start.
        let executor = HttpServer::bind(state.settings.executor_listen).await?;
        let limits = state.settings.http.local_port(MAX_MESSAGE_BYTES);
        let handler = poem_handler(executor_endpoint(&state));
        let executor = executor.with_handler("executor", limits, handler, state.log.clone());
        // The server runs until its task is stopped with the daemon.
        tasks.spawn(executor.run(CancellationToken::new(), Duration::ZERO));
        let polled = Arc::clone(&state);
        tasks.spawn(supervise(state.log.clone(), "executor polls", move || {
            poll_executor(Arc::clone(&polled))
        }));
        let reported = Arc::clone(&state);
        tasks.spawn(supervise(state.log.clone(), "reports", move || {
            report_to_leader(Arc::clone(&reported))
        }));
        info!(state.log, "started"; "vm" => &*state.settings.vm.name, "address" => %address,
            "executor_listen" => %state.settings.executor_listen);
        Ok(Self { tasks, rpc, state })
    }

    /// Reloads the settings file and adds its seeds. All other settings take effect on restart
    /// only.
    fn reload(&self) {
        let state = &self.state;
        match SideSettings::read(&state.settings.vm.source) {
            Ok(settings) => {
                state.add_seeds(&settings);
                info!(state.log, "settings reloaded"; "seeds" => ?settings.vm.seeds);
            }
            Err(errors) => {
                slog::error!(state.log, "settings not reloaded; the previous ones stay in force";
                    "errors" => %errors);
            }
        }
    }

    /// Stops at once, after a last report. Runs on the target continue until their lease expires,
    /// unless the next process of this daemon renews it.
    async fn stop(mut self) {
        self.rpc.stop().await;
        self.tasks.shutdown().await;
        report_stop(&self.state).await;
        info!(self.state.log, "stopped"; "vm" => &*self.state.settings.vm.name);
    }
}
