use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// SIGHUP signals, by which operators request a reload of the settings.
#[derive(Debug)]
pub struct HangupSignals {
    signal: Signal,
    requested: CancellationToken,
}

impl HangupSignals {
    /// Waits for the next signal; false if shutdown was requested instead.
    pub async fn next(&mut self) -> bool {
        tokio::select! {
            () = self.requested.cancelled() => false,
            received = self.signal.recv() => received.is_some(),
        }
    }
}

/// Requests the shutdown of a daemon's tasks, and waits for their end.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    requested: CancellationToken,
    tasks: TaskTracker,
}

impl Shutdown {
    /// Creates a handle without a shutdown request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests the shutdown.
    pub fn request(&self) {
        self.requested.cancel();
    }

    /// True if the shutdown was requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.requested.is_cancelled()
    }

    /// Waits for the shutdown request.
    pub async fn requested(&self) {
        self.requested.cancelled().await;
    }

    /// Spawns a task that [`Self::wait_finished`] waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Waits until all tasks have ended; false if `limit` passes first.
    pub async fn wait_finished(&self, limit: Duration) -> bool {
        self.tasks.close();
        tokio::time::timeout(limit, self.tasks.wait()).await.is_ok()
    }

    /// Installs a handler for SIGHUP, whose default action would end the process.
    ///
    /// # Errors
    ///
    /// The operating system's error if the signal handler can't be installed.
    pub fn watch_hangups(&self) -> std::io::Result<HangupSignals> {
        Ok(HangupSignals {
            signal: signal(SignalKind::hangup())?,
            requested: self.requested.clone(),
        })
    }

    /// Requests the shutdown on SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// The operating system's error if a signal handler can't be installed.
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
