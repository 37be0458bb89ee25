//! Command line, settings, logs, metrics, clock and graceful shutdown of the daemons.
//!
//! [`DaemonArguments`] is the command line. [`SettingsFile`] reads INI and collects all errors
//! before anything starts; [`VmSettings`] has the keys that all daemons of a site share.
//! [`json_logger`] creates the JSON-lines logger, [`install_metrics`] the metrics recorder, and
//! [`Shutdown`] stops a daemon's tasks. Only [`Clock`] and [`BootClock`] read the time; decision
//! functions take it as an argument.
//!
//! What a daemon does is in packages of its own: see `rattanwinch_entry` and `rattanwinch_agent`.

mod boot_clock;
mod clock;
mod daemon_arguments;
mod event_limits;
mod log_level;
mod logger;
mod metrics_text;
mod settings_error;
mod settings_file;
mod shutdown;
mod site_daemon;
mod supervise;
mod vm_settings;

pub use boot_clock::BootClock;
pub use clock::Clock;
pub use daemon_arguments::DaemonArguments;
pub use event_limits::OUTCOME_TAG;
pub use log_level::InvalidLogLevel;
pub use log_level::LogLevel;
pub use logger::discard_logger;
pub use logger::json_logger;
pub use logger::stdout_logger;
pub use logger::writer_logger;
pub use metrics_text::MetricsText;
pub use metrics_text::install_metrics;
pub use settings_error::SettingsError;
pub use settings_error::SettingsErrors;
pub use settings_file::SettingsFile;
pub use shutdown::HangupSignals;
pub use shutdown::Shutdown;
pub use site_daemon::SiteDaemon;
pub use site_daemon::run_site_daemon;
pub use supervise::supervise;
pub use vm_settings::VmSettings;
