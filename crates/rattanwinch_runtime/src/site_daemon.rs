use eyre::Result;
use slog::Logger;

use crate::Shutdown;
use crate::VmSettings;
use crate::stdout_logger;

/// A daemon of a site on the users' platform, as its process runs it.
pub trait SiteDaemon: Sized {
    /// Its checked settings.
    type Settings: AsRef<VmSettings>;

    /// The name of its process in logs.
    const PROCESS: &'static str;

    /// Listens and starts to work.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on.
    fn start(settings: Self::Settings, log: Logger) -> impl Future<Output = Result<Self>>;

    /// Takes over what has changed in its settings file.
    fn reload(&self);

    /// Stops gracefully.
    fn stop(self) -> impl Future<Output = ()>;
}

/// Runs a daemon until SIGTERM; SIGHUP reloads it.
///
/// # Errors
///
/// If the daemon can't start, or signals can't be watched.
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
