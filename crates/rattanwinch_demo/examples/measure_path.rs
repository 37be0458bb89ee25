//! Measures the time that the path adds to a plain request, beside direct calls to the same
//! executors in the same run, over loopback.
//!
//! `cargo run --release -p rattanwinch_demo --example measure_path -- --rate 1000 --seconds 10`

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use clap::Parser;
use eyre::Result;
use eyre::ensure;
use hdrhistogram::Histogram;
use rattanwinch_demo::Site;
use rattanwinch_demo::SiteSize;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Measures the time that the path adds to a plain request.
#[derive(Debug, Parser)]
struct Arguments {
    /// Requests a second, sent at fixed times whether or not earlier ones have ended.
    #[arg(long, default_value_t = 1000)]
    rate: u32,
    /// How long each of the two parts lasts, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Executors, each of 8 slots.
    #[arg(long, default_value_t = 11)]
    executors: usize,
    /// Connections for each executor.
    #[arg(long, default_value_t = 60)]
    connections: usize,
    /// How long an executor works on a request, in milliseconds.
    #[arg(long, default_value_t = 5)]
    work_ms: u64,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// What one part of the run measured, in microseconds.
struct Part {
    latency: Histogram<u64>,
    failed: u64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let size = SiteSize {
        targets: arguments.executors,
        ..SiteSize::default()
    };
    let site = Site::start(size).await?;
    site.wait_until_ready(Duration::from_secs(10)).await?;
    let direct: Vec<_> = site
        .executors
        .iter()
        .map(|executor| format!("http://{}/v1/requests", executor.address()))
        .collect();
    let through = vec![site.url(0, "/v1/requests")];
    // A short round of each first, so that connections are open and code is warm.
    run(&arguments, &direct, 1, false).await?;
    run(&arguments, &through, 1, true).await?;
    let direct = run(&arguments, &direct, arguments.seconds, false).await?;
    let through = run(&arguments, &through, arguments.seconds, true).await?;
    report(&arguments, &direct, &through);
    ensure!(through.failed == 0, "{} requests failed", through.failed);
    Ok(())
}

async fn run(arguments: &Arguments, urls: &[String], seconds: u32, path: bool) -> Result<Part> {
    let connections = arguments.connections * arguments.executors;
    let client = Client::builder()
        .pool_max_idle_per_host(connections)
        .no_proxy()
        .build()?;
    let permits = Arc::new(Semaphore::new(connections));
    let total = arguments.rate * seconds;
    let started = Instant::now();
    let mut calls = JoinSet::new();
    for n in 0..total {
        let due = started + Duration::from_secs(1) * n / arguments.rate;
        tokio::time::sleep_until(due.into()).await;
        let (client, permits) = (client.clone(), Arc::clone(&permits));
        let url = urls[n as usize % urls.len()].clone();
        let body = body(n, arguments.work_ms, path);
        calls.spawn(async move {
            let _permit = permits.acquire_owned().await.ok()?;
            let response = client.post(url).json(&body).send().await.ok()?;
            let whole = response.status().is_success() && response.bytes().await.is_ok();
            whole.then(|| due.elapsed())
        });
    }
    let mut part = Part {
        latency: Histogram::new(3)?,
        failed: 0,
    };
    while let Some(call) = calls.join_next().await {
        match call? {
            Some(span) => part.latency.record(u64::try_from(span.as_micros())?)?,
            None => part.failed += 1,
        }
    }
    Ok(part)
}

fn body(n: u32, work_ms: u64, path: bool) -> Value {
    let payload = format!("work_ms={work_ms}");
    let id = format!("{}-{n}", std::process::id());
    if path {
        let deadline = UNIX_EPOCH.elapsed().unwrap_or_default() + Duration::from_secs(30);
        let deadline = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
        json!({"organisation": "letrafa", "id": id, "payload": payload,
            "deadline_unix_ms": deadline})
    } else {
        json!({"organisation": "letrafa", "id": id, "payload": payload, "attempt": 1,
            "limit_ms": 30_000})
    }
}

fn report(arguments: &Arguments, direct: &Part, through: &Part) {
    let quantiles = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("p99.9", 0.999)];
    if arguments.json {
        let values = |part: &Part| {
            let figures =
                quantiles.map(|(name, q)| (name, json!(part.latency.value_at_quantile(q))));
            json!({"micros": figures.into_iter().collect::<std::collections::BTreeMap<_, _>>(),
                "answered": part.latency.len(), "failed": part.failed})
        };
        println!(
            "{}",
            json!({"direct": values(direct), "through": values(through)})
        );
        return;
    }
    println!(
        "{} requests/s, {} ms of work, {} executors of 8 slots, {} connections each",
        arguments.rate, arguments.work_ms, arguments.executors, arguments.connections
    );
    println!(
        "{:>8} {:>12} {:>12} {:>12}",
        "", "direct us", "path us", "added us"
    );
    for (name, q) in quantiles {
        let (d, t) = (
            direct.latency.value_at_quantile(q),
            through.latency.value_at_quantile(q),
        );
        println!("{name:>8} {d:>12} {t:>12} {:>12}", t.saturating_sub(d));
    }
    println!(
        "answered {:>12} {:>12}",
        direct.latency.len(),
        through.latency.len()
    );
    println!("  failed {:>12} {:>12}", direct.failed, through.failed);
}
