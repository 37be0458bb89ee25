//! Compares the scheduling policy with baselines, and measures the speed of its decisions.

use std::time::Duration;

use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use rattanwinch_trials::JobShape;
use rattanwinch_trials::Profile;
use rattanwinch_trials::Workload;
use rattanwinch_trials::compare;
use rattanwinch_trials::measure_large_jobs;
use rattanwinch_trials::measure_passes;
use rattanwinch_trials::measure_speed;
use rattanwinch_trials::trace_waits;
use serde::Serialize;

/// Trials of the scheduling policy.
#[derive(Debug, Parser)]
#[command(name = "rattanwinch-trials", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the policy and the baselines on the same seeded events.
    Compare {
        /// The fleet and its workload.
        #[arg(value_enum)]
        profile: Profile,
        /// Number of seeds, counted from 0.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Number of threads; each runs whole seeds.
        #[arg(long, default_value_t = 3)]
        threads: u64,
        /// Prints JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Prints the history of each wait within a guarantee that exceeded the limit of 35 s.
    Waits {
        /// The fleet and its workload.
        #[arg(value_enum)]
        profile: Profile,
        /// The seed; repeatable.
        #[arg(long, value_delimiter = ',', default_values_t = [0])]
        seed: Vec<u64>,
    },
    /// Measures how long decisions take against the size of the fleet.
    Speed {
        /// Workers in the zone; repeatable.
        #[arg(long, value_delimiter = ',', default_values_t = [712, 1425, 2850, 5700])]
        workers: Vec<u32>,
        /// Number of starts per figure.
        #[arg(long, default_value_t = 1000)]
        rounds: u32,
        /// Prints JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Measures the cost of a placement pass of a site's scheduler against the number of targets.
    Passes {
        /// Targets of the site; repeatable.
        #[arg(long, value_delimiter = ',', default_values_t = [11, 61, 300, 1000])]
        targets: Vec<u32>,
        /// Number of passes; each figure is their mean.
        #[arg(long, default_value_t = 2000)]
        rounds: u32,
        /// Prints JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Measures the cost of jobs of many steps to the scheduler of a site.
    LargeJobs {
        /// How the steps depend on each other; repeatable, by default all.
        #[arg(long, value_enum, value_delimiter = ',')]
        shape: Vec<JobShape>,
        /// Steps or tasks of each job; repeatable.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 1000, 8000])]
        size: Vec<u32>,
        /// Jobs that are queued at once.
        #[arg(long, default_value_t = 1)]
        jobs: u32,
        /// Thousandths of a core that each task takes; few of them let all tasks run at once.
        #[arg(long, default_value_t = 1000)]
        cpu_millis: u64,
        /// Priority of the jobs; those of priority 0 are within guarantees.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(..2))]
        priority: u32,
        /// Seconds after which a row is stopped; a placement pass is always finished.
        #[arg(long, default_value_t = 20)]
        max_seconds: u64,
        /// Prints JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
}

fn print(report: &(impl Serialize + std::fmt::Display), json: bool) -> serde_json::Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

fn main() -> serde_json::Result<()> {
    match Arguments::parse().command {
        Command::Compare {
            profile,
            seeds,
            threads,
            json,
        } => print(&compare(profile, seeds, threads), json),
        Command::Waits { profile, seed } => {
            for seed in seed {
                let workload = Workload::generate(profile, seed);
                for wait in trace_waits(profile, &workload) {
                    print!("seed {seed}: {wait}");
                }
            }
            Ok(())
        }
        Command::Speed {
            workers,
            rounds,
            json,
        } => print(&measure_speed(&workers, rounds), json),
        Command::Passes {
            targets,
            rounds,
            json,
        } => print(&measure_passes(&targets, rounds), json),
        Command::LargeJobs {
            shape,
            size,
            jobs,
            cpu_millis,
            priority,
            max_seconds,
            json,
        } => {
            let all = JobShape::value_variants();
            let shapes = if shape.is_empty() { all } else { &shape };
            let max_time = Duration::from_secs(max_seconds);
            print(
                &measure_large_jobs(shapes, &size, jobs, cpu_millis, priority, max_time),
                json,
            )
        }
    }
}
