//! Benchmark of the control plane's cost at an entry and an agent, by the number of agents.
//!
//! `cargo run --release -p rattanwinch_demo --example measure_control -- --agents 20,60,180`
//!
//! The entry and one agent are separate processes and are measured through `/proc`; the other
//! agents run in this process and send the same heartbeats. Bytes are counted on the loopback
//! interface, so no other program should use it during a run.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use eyre::ContextCompat as _;
use eyre::Result;
use rattanwinch_agent::AgentDaemon;
use rattanwinch_agent::AgentSettings;
use rattanwinch_demo::testing::Process;
use rattanwinch_demo::testing::deadline_unix_ms;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::write_site_config;
use rattanwinch_runtime::discard_logger;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreLimits;
use rattanwinch_targets::HttpExecutor;
use rattanwinch_types::RackName;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;
use serde_json::json;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Clock ticks per second in `/proc/<pid>/stat`; constant in the Linux user-space ABI.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measure the control plane's cost at an entry and an agent
#[derive(Debug, Parser)]
struct Arguments {
    /// The numbers of agents, with one run each.
    #[arg(long, value_delimiter = ',', default_value = "20,60,180")]
    agents: Vec<usize>,
    /// The number of entries, of which the first is measured; agents send heartbeats to all.
    #[arg(long, default_value_t = 1)]
    entries: usize,
    /// The number of availability zones over which the agents are distributed.
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// The duration of each measurement, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Plain requests per second, all for the measured agent.
    #[arg(long, default_value_t = 0)]
    rate: u32,
}

/// The resource usage of a process.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_seconds: f64,
    resident_mb: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    println!(
        "control cost over {} s, {} requests/s",
        arguments.seconds, arguments.rate
    );
    println!(
        "{:>7} {:>11} {:>10} {:>11} {:>10} {:>14} {:>9} {:>9}",
        "agents",
        "entry cpu%",
        "entry MB",
        "agent cpu%",
        "agent MB",
        "bytes/s/agent",
        "writes/s",
        "reads/s"
    );
    for agents in &arguments.agents {
        measure(&arguments, *agents).await?;
    }
    Ok(())
}

async fn measure(arguments: &Arguments, agents: usize) -> Result<()> {
    let folder = std::env::temp_dir().join(format!("rattanwinch-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let store = StandinStore::start(ANY_PORT, StoreLimits::default()).await?;
    write_site_config(store.address(), arguments.zones).await?;
    let start_entry = |n: usize| {
        let text = format!(
            "[entry]\nentry = entry-{n}\nzone = az-1\nhttp_listen = 127.0.0.1:0\n\
             rpc_listen = 127.0.0.1:0\n[store]\nendpoints = {}\n",
            store.address()
        );
        start(&folder, "rattanwinch-entry", &text)
    };
    let entries: Vec<Process> = (1..=arguments.entries)
        .map(start_entry)
        .collect::<Result<_>>()?;
    let entry = entries.first().wrap_err("there is at least one entry")?;
    let seeds: Vec<SocketAddr> = entries
        .iter()
        .map(|entry| entry.address("rpc"))
        .collect::<Result<_>>()?;
    let seed_list: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let seed_list = seed_list.join(", ");
    let executor = StandinExecutor::start(ANY_PORT, 8).await?;
    let text = format!(
        "[agent]\ntarget = measured\nzone = az-1\nrack = rack-0\nlisten = 127.0.0.1:0\n\
         executor = {}\nentries = {seed_list}\n",
        executor.address()
    );
    let measured = start(&folder, "rattanwinch-agent", &text)?;
    let mut others = Vec::new();
    for n in 1..agents {
        let settings = AgentSettings::builder()
            .target(TargetName::new(format!("target-{n}"))?)
            .zone(ZoneName::new(format!("az-{}", n % arguments.zones + 1))?)
            .rack(RackName::new(format!("rack-{}", n / 3))?)
            .listen(ANY_PORT)
            .executor(executor.address())
            .entries(seeds.clone())
            // Only the measured agent accepts plain requests.
            .slots(if arguments.rate > 0 { 0 } else { 8 })
            .queue(if arguments.rate > 0 { 0 } else { 60 })
            .build();
        let http = HttpExecutor::new(executor.address());
        others.push(
            AgentDaemon::new(settings, http, discard_logger())
                .serve()
                .await?,
        );
    }
    // Waits until connections, adoption and the first heartbeats are done.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let load = tokio::spawn(send_requests(
        entry.address("http")?,
        arguments.rate,
        arguments.seconds,
    ));
    store.reset_counts();
    let (entry_before, agent_before) = (read_usage(entry.id())?, read_usage(measured.id())?);
    let (bytes_before, started) = (loopback_bytes()?, Instant::now());
    tokio::time::sleep(Duration::from_secs(arguments.seconds)).await;
    let (entry_after, agent_after) = (read_usage(entry.id())?, read_usage(measured.id())?);
    let (bytes, elapsed_s) = (
        loopback_bytes()? - bytes_before,
        started.elapsed().as_secs_f64(),
    );
    let counts = store.counts();
    let writes: u64 = counts.calls_of("txn_write") + counts.calls_of("lease_keepalive");
    let reads: u64 = counts.calls_of("txn_read") + counts.calls_of("range");
    let share =
        |before: Usage, after: Usage| 100.0 * (after.cpu_seconds - before.cpu_seconds) / elapsed_s;
    println!(
        "{agents:>7} {:>11.2} {:>10.1} {:>11.2} {:>10.1} {:>14.0} {:>9.2} {:>9.2}",
        share(entry_before, entry_after),
        entry_after.resident_mb,
        share(agent_before, agent_after),
        agent_after.resident_mb,
        bytes as f64 / elapsed_s / agents as f64,
        writes as f64 / elapsed_s,
        reads as f64 / elapsed_s
    );
    load.abort();
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

/// Sends idempotent requests at a fixed rate.
async fn send_requests(http: SocketAddr, rate: u32, seconds: u64) {
    let started = Instant::now();
    for n in 0..u64::from(rate) * seconds {
        let due = started + Duration::from_secs_f64(n as f64 / f64::from(rate));
        tokio::time::sleep_until(due.into()).await;
        let body = json!({"organisation": "letrafa", "id": format!("m-{n}"), "payload": "work_ms=2",
            "deadline_unix_ms": deadline_unix_ms(Duration::from_secs(10))});
        tokio::spawn(post(format!("http://{http}/v1/requests"), body));
    }
}

fn start(folder: &Path, binary: &str, text: &str) -> Result<Process> {
    let settings = folder.join(format!("{binary}.ini"));
    std::fs::write(&settings, text)?;
    Process::start(binary, &settings)
}

fn read_usage(process: u32) -> Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // Field 3 follows the command name, which is in parentheses and may contain spaces.
    let fields = stat.rsplit_once(')').wrap_err("stat has a command name")?.1;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|text| text.split_whitespace().next());
    let kilobytes: f64 = kilobytes.wrap_err("status has a resident size")?.parse()?;
    Ok(Usage {
        cpu_seconds: ticks / TICKS_PER_SECOND,
        resident_mb: kilobytes / 1024.0,
    })
}

/// Returns the number of bytes received on the loopback interface.
fn loopback_bytes() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next());
    Ok(received
        .wrap_err("there is a loopback interface")?
        .parse()?)
}
