use std::io::BufRead as _;
use std::io::BufReader;
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

/// How long a daemon may take to say where it listens.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful shutdown.
    Terminate,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Continue,
    /// Ends the process at once.
    Kill,
}

/// A daemon that runs as a process of its own; it is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Value,
    faults: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a daemon with a settings file and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// If it can't be built or started, or doesn't listen in time.
    pub fn start(binary: &str, settings: &Path) -> Result<Self> {
        let program = build(binary)?;
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("can't start {binary}"))?;
        let stderr = child.stderr.take().wrap_err("standard error is piped")?;
        let (tx, rx) = mpsc::channel();
        let faults = Arc::default();
        let found: Arc<Mutex<Vec<String>>> = Arc::clone(&faults);
        std::thread::spawn(move || {
            // The pipe is read to its end, or the daemon would block on a full one.
            for line in BufReader::new(stderr)
                .lines()
                .map_while(std::result::Result::ok)
            {
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
        let addresses = rx.recv_timeout(START_LIMIT);
        let addresses =
            addresses.wrap_err_with(|| format!("{binary} didn't say that it serves"))?;
        Ok(Self {
            child,
            addresses,
            faults,
        })
    }

    /// Starts a stand-in with arguments and waits until it says where it listens, which is its
    /// address under the field `listen`.
    ///
    /// # Errors
    ///
    /// If it can't be built or started, or doesn't listen in time.
    pub fn start_standin(binary: &str, arguments: &[&str]) -> Result<Self> {
        let program = build(binary)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("can't start {binary}"))?;
        let stdout = child.stdout.take().wrap_err("standard output is piped")?;
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            // A failed read leaves the line empty, which the receiver reports.
            let _ = BufReader::new(stdout).read_line(&mut line);
            let _ = tx.send(line);
        });
        let line = rx.recv_timeout(START_LIMIT).unwrap_or_default();
        let mut process = Self {
            child,
            addresses: Value::Null,
            faults: Arc::default(),
        };
        let address = line.trim().strip_prefix("listening on ");
        let address = address.wrap_err_with(|| format!("{binary} didn't say that it listens"))?;
        process.addresses = json!({ "listen": address });
        Ok(process)
    }

    /// An address that the daemon logged under the given field.
    ///
    /// # Errors
    ///
    /// If it logged none.
    pub fn address(&self, field: &str) -> Result<SocketAddr> {
        let text = self.addresses[field]
            .as_str()
            .wrap_err("the daemon logged no such address")?;
        Ok(text.parse()?)
    }

    /// The lines that say that an invariant was violated or that a task panicked.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let faults = self.faults.lock();
        faults.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; after [`Signal::Stop`] no thread of the process runs any more.
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
        ensure!(status.success(), "process {} takes no signal", self.id());
        if signal == Signal::Stop {
            wait_until_stopped(self.id())?;
        }
        Ok(())
    }

    /// Whether the process has ended, and if so, whether with success.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn ended(&mut self) -> Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Builds the daemons and the stand-ins once and returns the path of one.
fn build(binary: &str) -> Result<PathBuf> {
    static BUILT: OnceLock<bool> = OnceLock::new();
    let test = std::env::current_exe()?;
    let profile = test
        .ancestors()
        .nth(2)
        .wrap_err("a test lies in a build folder")?;
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
    ensure!(built, "the daemons can't be built");
    Ok(profile.join(binary))
}
