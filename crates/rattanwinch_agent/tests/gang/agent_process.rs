//! The agent in a process of its own that is frozen, killed and measured.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use rattanwinch_testing::wait_until_stopped;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::MemberPhase;

use crate::support::EPOCH;
use crate::support::TestSetup;
use crate::support::hold_order;
use crate::support::member;

/// An agent process that is killed at the end of a test.
struct AgentProcess(Child);

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl AgentProcess {
    fn start(name: &str, executor: SocketAddr, entry: SocketAddr) -> Self {
        let binary = Path::new(env!("CARGO_BIN_EXE_rattanwinch-agent"));
        Self::start_binary(binary, name, executor, entry)
    }

    fn start_binary(binary: &Path, name: &str, executor: SocketAddr, entry: SocketAddr) -> Self {
        let settings = format!(
            "[agent]\ntarget = {name}\nzone = az-1\nrack = rack-1\nlisten = 127.0.0.1:0\n\
             executor = {executor}\nentries = {entry}\n"
        );
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
        fs::write(&file, settings).expect("the settings can be written");
        let mut command = Command::new(binary);
        let child = command.arg("--settings").arg(file).spawn();
        Self(child.expect("the agent can be started"))
    }

    fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.expect("kill can be run").success());
    }

    fn freeze(&self) {
        self.signal("-STOP");
        wait_until_stopped(self.0.id()).expect("the process stops");
    }

    /// The total processor time of all threads.
    fn processor_time(&self) -> Duration {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.0.id()));
        let tasks = tasks.expect("the process is running").map(Result::unwrap);
        let nanos = tasks.map(|task| {
            let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let first = text.split(' ').next().unwrap_or_default().to_owned();
            first.parse::<u64>().unwrap_or(0)
        });
        Duration::from_nanos(nanos.sum())
    }

    /// The peak resident memory, in KiB.
    fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.expect("the process is running");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value
            .and_then(|text| text.parse().ok())
            .expect("the kernel reports the peak memory")
    }
}

async fn start(name: &str) -> TestSetup<AgentProcess> {
    let start_agent = async |executor, entry| AgentProcess::start(name, executor, entry);
    TestSetup::start_with(Duration::from_secs(60), start_agent).await
}

async fn start_member(setup: &TestSetup<AgentProcess>, index: u16) {
    let key = member("ladder-1", 1, index);
    let mut order = hold_order(&key, 1 << index, "work_ms=600000");
    order.gang_tasks = 8;
    setup.hold(order).await.expect("held");
    setup.release(&key, EPOCH).await.expect("released");
}

/// Guards against an agent that is frozen while it holds a member and starts the member when it
/// resumes, because a release was queued.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_starts_nothing_after_the_hold() {
    let setup = start("frozen").await;
    let key = member("ladder-1", 1, 0);
    let mut order = hold_order(&key, 1, "");
    order.hold_for = Duration::from_secs(1);
    setup.hold(order).await.expect("held");
    let hold_expires_at = tokio::time::Instant::now() + Duration::from_secs(1);
    setup.agent.freeze();
    let release = setup.release(&key, EPOCH);
    let resume = async {
        tokio::time::sleep_until(hold_expires_at).await;
        setup.agent.signal("-CONT");
    };
    let (released, ()) = tokio::join!(release, resume);
    let error = released.expect_err("the hold has expired");
    let by_agent = matches!(error.kind, ErrorKind::Deadline | ErrorKind::Cancelled);
    assert!(by_agent && error.is_not_run(), "{error}");
    assert!(setup.executor.task_starts().is_empty());
}

/// Guards against a killed agent that ends a running gang.
#[tokio::test(flavor = "multi_thread")]
async fn running_tasks_outlive_a_killed_agent() {
    let mut setup = start("killed").await;
    start_member(&setup, 0).await;
    let key = member("ladder-1", 1, 0);
    setup.entry.wait_phase(&key, &MemberPhase::Running).await;
    let before = setup.entry.last_heartbeat().expect("reported").incarnation;
    drop(setup.agent);
    setup.entry.clear_last_heartbeat();
    let entry = setup.entry_server.address();
    setup.agent = AgentProcess::start("killed", setup.executor.address(), entry);
    setup.entry.wait_phase(&key, &MemberPhase::Running).await;
    assert_ne!(
        setup.entry.last_heartbeat().expect("reported").incarnation,
        before
    );

    setup.decider = setup.entry.connect_decider().await;
    let released = setup.release(&key, EPOCH).await;
    released.expect("a repeated release finds the member running");
    assert_eq!(
        setup.executor.task_starts().len(),
        1,
        "the task was started again"
    );
}

/// Builds the agent in release mode; a limit on processor time is meaningless for a debug build.
fn release_binary() -> PathBuf {
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--release", "--locked", "--quiet", "--bins"]);
    build.args(["--package", "rattanwinch_agent"]);
    assert!(build.status().expect("cargo can be run").success());
    let target = Path::new(env!("CARGO_TARGET_TMPDIR")).parent();
    target
        .expect("the target folder")
        .join("release/rattanwinch-agent")
}

/// Guards against an agent that uses more than 1.7% of a core or 32 MB on its node, idle or with a
/// worker full of tasks, and against one that calls its executor while it is idle.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_stays_within_its_share_of_a_node() {
    let binary = release_binary();
    let start_agent =
        async |executor, entry| AgentProcess::start_binary(&binary, "measured", executor, entry);
    let setup = TestSetup::start_with(Duration::from_secs(60), start_agent).await;
    for (load, members) in [("idle", 0..0), ("8 running tasks", 0..8)] {
        for index in members {
            start_member(&setup, index).await;
        }
        let calls = setup.executor.task_calls();
        let (since, before) = (Instant::now(), setup.agent.processor_time());
        setup.entry.wait_heartbeats(10).await;
        let used = setup.agent.processor_time() - before;
        let core_share = 100.0 * used.as_secs_f64() / since.elapsed().as_secs_f64();
        let peak_kib = setup.agent.peak_memory();
        let called = setup.executor.task_calls() > calls;
        assert_eq!(called, load != "idle", "{load}: calls to the executor");
        println!("{load}: {core_share:.2}% of a core, at most {peak_kib} KiB");
        assert!(core_share < 1.7, "{load}: {core_share:.2}% of a core");
        assert!(peak_kib < 32 * 1024, "{load}: {peak_kib} KiB");
    }
}
