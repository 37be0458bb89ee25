//! Processes that are started by their programs, and what the system says of them.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use crate::DESCRIPTOR_BOUND;
use crate::MEMORY_BOUND_KB;

/// A process that is killed when this is dropped.
pub struct Process(Child);

impl Process {
    /// Starts a program of this workspace and waits until it accepts connections at `address`.
    pub async fn start(program: &str, name: &str, settings: &str, address: SocketAddr) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("uncontrolled-{name}.ini"));
        std::fs::write(&path, settings).expect("a file");
        build();
        let front = Path::new(env!("CARGO_BIN_EXE_rattanwinch-front"));
        let child = Command::new(front.with_file_name(program))
            .arg("--settings")
            .arg(path)
            .stdout(Stdio::null())
            .spawn();
        let process = Self(child.expect("the workspace's programs are built"));
        let started = Instant::now();
        while tokio::net::TcpStream::connect(address).await.is_err() {
            assert!(started.elapsed() < Duration::from_secs(20), "{address}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        process
    }

    /// Fails if the process has ended, or has had more memory than the bound.
    pub fn assert_within_memory(&mut self) {
        self.assert_memory_under(MEMORY_BOUND_KB);
    }

    /// Fails if the process has ended, or has had more memory than `bound`, in KiB.
    pub fn assert_memory_under(&mut self, bound: u64) {
        self.assert_alive();
        let path = format!("/proc/{}/status", self.0.id());
        let status = std::fs::read_to_string(path).expect("a running process");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().strip_suffix("kB"));
        let peak: u64 = peak.expect("a peak").trim().parse().expect("a number");
        eprintln!("peak memory {peak} kB");
        assert!(peak <= bound, "peak memory {peak} kB, bound {bound} kB");
    }

    /// Fails if the process has ended, or has more descriptors open than the bound.
    pub fn assert_within_descriptors(&mut self) {
        self.assert_alive();
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.0.id()));
        let open = open.expect("a running process").count();
        eprintln!("open descriptors {open}");
        assert!(open <= DESCRIPTOR_BOUND, "{open} descriptors");
    }

    fn assert_alive(&mut self) {
        let ended = self.0.try_wait().expect("a child");
        assert_eq!(ended, None, "the process has ended");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended; it has to be reaped in any case.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Builds the workspace's programs once; the build of this test covers the front only.
fn build() {
    static BUILT: OnceLock<bool> = OnceLock::new();
    let built = BUILT.get_or_init(|| {
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut command = Command::new(cargo);
        command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
        command.args(["--jobs", "3", "--manifest-path"]);
        command.arg(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml"));
        if !cfg!(debug_assertions) {
            command.arg("--release");
        }
        command.status().is_ok_and(|status| status.success())
    });
    assert!(built, "the programs are built");
}
