use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The operators' requests to read the settings again.
#[derive(Debug)]
pub struct Hangups {
    signal: Signal,
    requested: CancellationToken,
}

impl Hangups {
    /// Waits for the next request; false once the daemon is asked to stop.
    pub async fn next(&mut self) -> bool {
        tokio::select! {
            () = self.requested.cancelled() => false,
            received = self.signal.recv() => received.is_some(),
        }
    }
}

/// Tells all tasks of a daemon to stop, and waits for them.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    requested: CancellationToken,
    tasks: TaskTracker,
}

impl Shutdown {
    /// Makes a handle that nobody has asked to stop.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks all tasks to stop.
    pub fn request(&self) {
        self.requested.cancel();
    }

    /// True once a stop was asked for.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.requested.is_cancelled()
    }

    /// Waits until a stop is asked for.
    pub async fn requested(&self) {
        self.requested.cancelled().await;
    }

    /// Runs a task that [`Self::wait_finished`] waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Waits until all tasks have ended; false if `limit` passed first.
    pub async fn wait_finished(&self, limit: Duration) -> bool {
        self.tasks.close();
        tokio::time::timeout(limit, self.tasks.wait()).await.is_ok()
    }

    /// Watches for SIGHUP, which ends a process that doesn't.
    ///
    /// # Errors
    ///
    /// The operating system's error if the signal can't be watched.
    pub fn watch_hangups(&self) -> std::io::Result<Hangups> {
        Ok(Hangups {
            signal: signal(SignalKind::hangup())?,
            requested: self.requested.clone(),
        })
    }

    /// Asks for a stop on SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// The operating system's error if the signals can't be watched.
    pub fn watch_signals(&self) -> std::io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let requested = self.requested.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            requested.cancel();
        });
        Ok(())
    }
}
