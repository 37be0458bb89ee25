use eyre::Result;
use slog::Logger;

use crate::Shutdown;
use crate::VmSettings;
use crate::stdout_logger;

/// A daemon of a site on the users' platform, run by [`run_site_daemon`].
pub trait SiteDaemon: Sized {
    /// The validated settings.
    type Settings: AsRef<VmSettings>;

    /// The process name in logs.
    const PROCESS: &'static str;

    /// Starts the servers and tasks.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    fn start(settings: Self::Settings, log: Logger) -> impl Future<Output = Result<Self>>;

    /// Reloads the settings file.
    fn reload(&self);

    /// Stops gracefully.
    fn stop(self) -> impl Future<Output = ()>;
}

/// Runs a daemon until SIGTERM or SIGINT; SIGHUP reloads its settings.
///
/// # Errors
///
/// If the daemon can't start, or a signal handler can't be installed.
pub async fn run_site_daemon<D: SiteDaemon>(settings: D::Settings) -> Result<()> {
    let signals = Shutdown::new();
    signals.watch_signals()?;
    let mut hangups = signals.watch_hangups()?;
    let log = stdout_logger(D::PROCESS, settings.as_ref().log_level);
    let daemon = D::start(settings, log).await?;
    while hangups.next().await {
        daemon.reload();
    }
    daemon.stop().await;
    Ok(())
}
