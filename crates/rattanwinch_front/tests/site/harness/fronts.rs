//! Fronts of a site, in the test's own process or as processes that can be killed and frozen.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_front::FrontDaemon;
use rattanwinch_runtime::LogLevel;
use rattanwinch_runtime::SiteDaemon as _;
use rattanwinch_runtime::VmSettings;
use rattanwinch_site_standins::StoreEndpoint;

/// The ports of every VM of a site.
pub const PEER_PORT: u16 = 7000;
pub const CALLER_PORT: u16 = 8000;
pub const READY_PORT: u16 = 8001;

/// How a front runs.
pub enum FrontProgram {
    Daemon(FrontDaemon),
    Process(KilledOnDrop),
}

pub struct KilledOnDrop(Child);

pub struct Front {
    pub program: FrontProgram,
    pub door: StoreEndpoint,
    pub callers: SocketAddr,
}

impl Front {
    /// Stops it gracefully.
    pub async fn stop(self) {
        if let FrontProgram::Daemon(daemon) = self.program {
            daemon.stop().await;
        }
    }

    /// Sends a signal to a front that runs as a process; `signal` as `kill` names it.
    pub fn signal(&self, signal: &str) {
        let FrontProgram::Process(KilledOnDrop(child)) = &self.program else {
            panic!("only processes take signals");
        };
        let sent = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success(), "the front has ended");
    }
}

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        // It may have been killed before; either way it has to be waited for.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a front as a process and waits until it listens.
pub async fn start_process(ip: IpAddr, seeds: &[IpAddr], door: StoreEndpoint) -> Front {
    let callers = SocketAddr::new(ip, CALLER_PORT);
    let seeds = seeds.iter().map(|seed| format!("{seed}:{PEER_PORT}"));
    let text = format!(
        "[vm]\nname = front-{ip}\nip = {ip}\npeer_port = {PEER_PORT}\n\
         [listen]\ncallers = {callers}\nreadiness = {ip}:{READY_PORT}\n\
         [peers]\nseeds = {}\n[store]\naddress = {}\n\
         [limits]\nlongest_lease_ms = 6000\nkeep_ended_s = 120\ngrace_s = 6\n",
        seeds.collect::<Vec<_>>().join(", "),
        door.address(),
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("front-{ip}.ini"));
    std::fs::write(&path, text).expect("a file");
    let child = Command::new(env!("CARGO_BIN_EXE_rattanwinch-front"))
        .arg("--settings")
        .arg(path)
        .stdout(Stdio::null())
        .spawn();
    let asked = Instant::now();
    while tokio::net::TcpStream::connect(callers).await.is_err() {
        assert!(
            asked.elapsed() < Duration::from_secs(10),
            "{callers} isn't listened on"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Front {
        program: FrontProgram::Process(KilledOnDrop(child.expect("the front starts"))),
        door,
        callers,
    }
}

/// The settings of a VM whose daemon runs in the test's own process.
pub fn vm_settings(name: String, ip: IpAddr, seeds: &[IpAddr], door: &StoreEndpoint) -> VmSettings {
    VmSettings {
        source: PathBuf::new(),
        name: Arc::from(name),
        ip,
        peer_port: PEER_PORT,
        seeds: seeds.to_vec(),
        store: door.address(),
        max_lease: Duration::from_secs(6),
        log_level: LogLevel::default(),
    }
}
