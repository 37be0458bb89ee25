//! Benchmark of the latency that the path through entry and agent adds to a plain request, compared
//! with direct calls to the same executors in the same run, over loopback.
//!
//! `cargo run --release -p rattanwinch_demo --example measure_path`
//!
//! This process is the load generator; the store, the executors, the entries and the agents are
//! separate processes, unless `--one-process` is given. Each rate has several rounds, which
//! alternate between direct calls and calls through the path.

mod load;
mod test_site;
mod usage;

use clap::Parser;
use eyre::Result;
use eyre::ensure;
use load::Measurements;
use load::Sender;
use rattanwinch_demo::SiteSize;
use serde_json::Value;
use serde_json::json;
use test_site::TestSite;
use usage::Usage;

const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];

/// Measure the latency that the path adds to a plain request
#[derive(Debug, Parser)]
struct Arguments {
    /// The rates of requests per second, independent of their answers.
    #[arg(long, value_delimiter = ',', default_value = "200,500,1500")]
    rates: Vec<u32>,
    /// The number of rounds for each rate.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// The duration of each of the two parts of a round, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u32,
    /// The number of entries over which requests are distributed.
    #[arg(long, default_value_t = 2)]
    entries: usize,
    /// The number of executors, with 8 slots each.
    #[arg(long, default_value_t = 11)]
    executors: usize,
    /// The number of connections per executor.
    #[arg(long, default_value_t = 60)]
    connections: usize,
    /// The run time of a request at its executor, in milliseconds.
    #[arg(long, default_value_t = 5)]
    work_ms: u64,
    /// Run all components in this process.
    #[arg(long)]
    one_process: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// The measurements at one rate.
struct RateResult {
    rate: u32,
    direct: Measurements,
    path: Measurements,
    /// CPU time in microseconds and voluntary context switches per request, for entries and agents.
    entry: (f64, f64),
    agent: (f64, f64),
    load: String,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let size = SiteSize {
        targets: arguments.executors,
        entries: arguments.entries,
        ..SiteSize::default()
    };
    let test_site = if arguments.one_process {
        TestSite::start_in_process(size).await?
    } else {
        TestSite::start_processes(size).await?
    };
    let (connections, work_ms) = (
        arguments.connections * arguments.executors,
        arguments.work_ms,
    );
    let mut direct = Sender::new(test_site.direct.clone(), false, connections, work_ms)?;
    let mut path = Sender::new(test_site.entries.clone(), true, connections, work_ms)?;
    // A warm-up round opens the connections.
    let highest = arguments.rates.iter().max().copied().unwrap_or(1);
    direct.run(highest, 1, &mut Measurements::new()?).await?;
    path.run(highest, 1, &mut Measurements::new()?).await?;
    let mut failed = 0;
    if !arguments.json {
        print_header(&arguments);
    }
    for rate in &arguments.rates {
        let outcome = measure(&arguments, &test_site, *rate, &mut direct, &mut path).await?;
        if arguments.json {
            println!("{}", outcome.to_json());
        } else {
            outcome.print();
        }
        failed += outcome.direct.failed + outcome.path.failed;
    }
    ensure!(failed == 0, "{failed} requests failed");
    Ok(())
}

async fn measure(
    arguments: &Arguments,
    test_site: &TestSite,
    rate: u32,
    direct: &mut Sender,
    path: &mut Sender,
) -> Result<RateResult> {
    let (mut direct_measured, mut path_measured) = (Measurements::new()?, Measurements::new()?);
    let groups = [&test_site.entry_ids[..], &test_site.agent_ids[..]];
    let mut idle = [Usage::default(); 2];
    let mut busy = [Usage::default(); 2];
    let read = || -> Result<[Usage; 2]> { Ok([Usage::read(groups[0])?, Usage::read(groups[1])?]) };
    for _ in 0..arguments.rounds {
        let before = read()?;
        direct
            .run(rate, arguments.seconds, &mut direct_measured)
            .await?;
        // The daemons were idle during the direct calls, so this is the cost of heartbeats and
        // pings.
        let between = read()?;
        path.run(rate, arguments.seconds, &mut path_measured)
            .await?;
        let after = read()?;
        for group in 0..groups.len() {
            idle[group].add(between[group].since(before[group]));
            busy[group].add(after[group].since(between[group]));
        }
    }
    let requests = path_measured.latency.len();
    Ok(RateResult {
        rate,
        direct: direct_measured,
        path: path_measured,
        entry: busy[0].per_request(idle[0], requests),
        agent: busy[1].per_request(idle[1], requests),
        load: std::fs::read_to_string("/proc/loadavg")?
            .split_whitespace()
            .next()
            .unwrap_or_default()
            .to_owned(),
    })
}

fn print_header(arguments: &Arguments) {
    println!(
        "{} rounds of {} s, {} ms of work, {} entries, {} executors of 8 slots, {} connections \
         each, {}",
        arguments.rounds,
        arguments.seconds,
        arguments.work_ms,
        arguments.entries,
        arguments.executors,
        arguments.connections,
        if arguments.one_process {
            "one process"
        } else {
            "processes"
        }
    );
    println!("times in microseconds; per request: processor time / waits of a thread");
    println!(
        "{:>6} {:>5} {:>8} {:>8} {:>8} {:>8} {:>14} {:>14} {:>6}",
        "rate", "", "direct", "path", "added", "late", "entry", "agent", "load"
    );
}

impl RateResult {
    fn print(&self) {
        for (name, q) in QUANTILES {
            let (direct, path) = self.values(q);
            print!(
                "{:>6} {name:>5} {direct:>8} {path:>8} {:>8} {:>8}",
                self.rate,
                path - direct,
                self.path.send_delay.value_at_quantile(q)
            );
            if name == "p50" {
                let pair = |(cpu, context_switches): (f64, f64)| {
                    format!("{cpu:.0} / {context_switches:.2}")
                };
                let (entry, agent) = (pair(self.entry), pair(self.agent));
                print!(" {entry:>14} {agent:>14} {:>6}", self.load);
            }
            println!();
        }
        let failed = self.direct.failed + self.path.failed;
        println!(
            "       answered {} and {}, failed {failed}",
            self.direct.latency.len(),
            self.path.latency.len()
        );
    }

    fn values(&self, quantile: f64) -> (i64, i64) {
        let value = |measured: &Measurements| {
            let micros = measured.latency.value_at_quantile(quantile);
            i64::try_from(micros).unwrap_or(i64::MAX)
        };
        (value(&self.direct), value(&self.path))
    }

    fn to_json(&self) -> Value {
        let times: serde_json::Map<_, _> = QUANTILES
            .into_iter()
            .map(|(name, q)| {
                let (direct, path) = self.values(q);
                let send_delay = self.path.send_delay.value_at_quantile(q);
                let times = json!({"direct_us": direct, "path_us": path,
                    "added_us": path - direct, "late_us": send_delay});
                (name.to_owned(), times)
            })
            .collect();
        let usage =
            |(cpu, context_switches): (f64, f64)| json!({"cpu_us": cpu, "waits": context_switches});
        json!({"rate": self.rate, "times": times, "entry_per_request": usage(self.entry),
            "agent_per_request": usage(self.agent), "load": self.load,
            "answered": {"direct": self.direct.latency.len(), "path": self.path.latency.len()},
            "failed": {"direct": self.direct.failed, "path": self.path.failed}})
    }
}
