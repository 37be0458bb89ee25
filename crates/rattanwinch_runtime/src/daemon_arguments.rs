use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use crate::SettingsErrors;

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Command-line arguments of a daemon.
#[derive(Debug, Args)]
pub struct DaemonArguments {
    /// The settings file (INI).
    #[arg(long, value_name = "FILE", env = "RATTANWINCH_SETTINGS")]
    settings: PathBuf,
    /// Check the settings, print every error and exit.
    #[arg(long)]
    check: bool,
}

impl DaemonArguments {
    /// Reads the settings and runs the daemon, or only checks them with `--check`.
    ///
    /// The exit code is 0 after a graceful shutdown or a check without errors, 1 if the daemon
    /// failed, 2 if the settings have errors.
    pub fn run<S>(
        &self,
        read: impl FnOnce(&Path) -> std::result::Result<S, SettingsErrors>,
        serve: impl FnOnce(S) -> eyre::Result<()>,
    ) -> ExitCode {
        let settings = match read(&self.settings) {
            Ok(settings) => settings,
            Err(errors) => {
                eprintln!("{errors}");
                return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
            }
        };
        if self.check {
            println!("{}: no errors", self.settings.display());
            return ExitCode::SUCCESS;
        }
        match serve(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error:#}");
                ExitCode::FAILURE
            }
        }
    }
}
