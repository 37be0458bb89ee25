//! Compares the scheduling policy with baselines, and measures the speed of its decisions.

use clap::Parser;
use clap::Subcommand;
use rattanwinch_trials::Profile;
use rattanwinch_trials::Workload;
use rattanwinch_trials::compare;
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
    }
}
