use std::fs::File;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::time::Duration;

use eyre::ContextCompat as _;
use eyre::Result;
use eyre::WrapErr as _;
use eyre::ensure;
use rattanwinch_testing::wait_until_stopped;
use serde_json::Value;
use serde_json::json;

/// The time limit for a daemon to log its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The environment variable with the folder in which the logs of all daemons are kept.
const LOGS_VARIABLE: &str = "RATTANWINCH_TEST_LOGS";

/// A signal that is sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// `SIGTERM`: requests a graceful shutdown.
    Terminate,
    /// `SIGSTOP`: suspends the process.
    Stop,
    /// `SIGCONT`: resumes a suspended process.
    Continue,
    /// `SIGKILL`: ends the process at once.
    Kill,
}

/// A daemon in a separate process, which is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Value,
    faults: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a daemon with a settings file and waits until it logs its addresses.
    ///
    /// # Errors
    ///
    /// If it cannot be built or started, or does not listen in time.
    pub fn start(binary: &str, settings: &Path) -> Result<Self> {
        let program = build(binary)?;
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("cannot start {binary}"))?;
        let stderr = child.stderr.take().wrap_err("standard error is piped")?;
        let (tx, rx) = mpsc::channel();
        let faults = Arc::default();
        let found: Arc<Mutex<Vec<String>>> = Arc::clone(&faults);
        let mut copy = log_copy(settings)?;
        std::thread::spawn(move || {
            // Reads the pipe to its end, since the daemon would block on a full pipe.
            for line in BufReader::new(stderr)
                .lines()
                .map_while(std::result::Result::ok)
            {
                if let Some(copy) = &mut copy {
                    // A copy that cannot be written must not stop the reading.
                    let _ = writeln!(copy, "{line}");
                }
                if line.contains("invariant violated") || line.contains("panicked at") {
                    found
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(line.clone());
                }
                let event: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
                let serves = event["msg"]
                    .as_str()
                    .is_some_and(|msg| msg.ends_with(" serves"));
                if serves {
                    let _ = tx.send(event);
                }
            }
        });
        let addresses = rx.recv_timeout(START_TIMEOUT);
        let addresses = addresses.wrap_err_with(|| {
            format!("{binary} did not log that it serves within {START_TIMEOUT:?}")
        })?;
        Ok(Self {
            child,
            addresses,
            faults,
        })
    }

    /// Starts a stand-in with arguments and waits until it prints its address, which is stored
    /// under the field `listen`.
    ///
    /// # Errors
    ///
    /// If it cannot be built or started, or does not listen in time.
    pub fn start_standin(binary: &str, arguments: &[&str]) -> Result<Self> {
        let program = build(binary)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("cannot start {binary}"))?;
        let stdout = child.stdout.take().wrap_err("standard output is piped")?;
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            // A failed read leaves the line empty, for which the receiver returns an error.
            let _ = BufReader::new(stdout).read_line(&mut line);
            let _ = tx.send(line);
        });
        let line = rx.recv_timeout(START_TIMEOUT).unwrap_or_default();
        let mut process = Self {
            child,
            addresses: Value::Null,
            faults: Arc::default(),
        };
        let address = line.trim().strip_prefix("listening on ");
        let address = address.wrap_err_with(|| {
            format!("{binary} did not print its address within {START_TIMEOUT:?}")
        })?;
        process.addresses = json!({ "listen": address });
        Ok(process)
    }

    /// Returns the address that the daemon logged under the given field.
    ///
    /// # Errors
    ///
    /// If it logged no such field.
    pub fn address(&self, field: &str) -> Result<SocketAddr> {
        let text = self.addresses[field]
            .as_str()
            .wrap_err("the daemon logged no address under the field")?;
        Ok(text.parse()?)
    }

    /// Returns the log lines that report a violated invariant or a panic.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let faults = self.faults.lock();
        faults.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; for [`Signal::Stop`] waits until all threads of the process have stopped.
    ///
    /// # Errors
    ///
    /// If the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let name = match signal {
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Kill => "-KILL",
        };
        let status = Command::new("kill")
            .arg(name)
            .arg(self.id().to_string())
            .status()?;
        ensure!(status.success(), "cannot signal process {}", self.id());
        if signal == Signal::Stop {
            wait_until_stopped(self.id())?;
        }
        Ok(())
    }

    /// Returns whether the process succeeded if it has ended, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn exit_success(&mut self) -> Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Builds the daemons and stand-ins once and returns the path of the given binary.
fn build(binary: &str) -> Result<PathBuf> {
    static BUILT: OnceLock<bool> = OnceLock::new();
    let test = std::env::current_exe()?;
    let profile = test
        .ancestors()
        .nth(2)
        .wrap_err("the test executable is in a build folder")?;
    let release = profile.file_name().is_some_and(|name| name == "release");
    let built = *BUILT.get_or_init(|| {
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut command = Command::new(cargo);
        command.args(["build", "--quiet", "--locked", "--bins"]);
        let packages = ["entry", "agent", "standins"];
        command.args(packages.map(|package| format!("--package=rattanwinch_{package}")));
        command.arg("--manifest-path");
        command.arg(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml"));
        if release {
            command.arg("--release");
        }
        command.status().is_ok_and(|status| status.success())
    });
    ensure!(built, "cannot build the daemons and stand-ins");
    Ok(profile.join(binary))
}

/// Opens the file that keeps the log of the daemon with these settings; `None` unless logs are
/// kept. The file is named after the site's folder, so that a daemon that was started again goes
/// on in it.
fn log_copy(settings: &Path) -> Result<Option<File>> {
    let Some(folder) = std::env::var_os(LOGS_VARIABLE) else {
        return Ok(None);
    };
    let parts = settings.iter().rev().take(2);
    let mut parts: Vec<_> = parts.map(|part| part.to_string_lossy()).collect();
    parts.reverse();
    let name = Path::new(&folder)
        .join(parts.join("-"))
        .with_extension("log");
    let file = File::options().create(true).append(true).open(name)?;
    Ok(Some(file))
}
