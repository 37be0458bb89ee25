//! The command-line arguments.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use rattanwinch_types::ChangeId;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestId;

const EXAMPLES: &str = "\
Examples:
  rattanwinch --entry http://127.0.0.1:8080 zone list
  rattanwinch --settings rattanwinch.ini zone close a --reason 'power works in hall 2'
  rattanwinch --settings rattanwinch.ini zone watch a
  rattanwinch --settings rattanwinch.ini zone reopen a --reason 'power works are done'
  rattanwinch --settings rattanwinch.ini config set max_attempts 5 --reason 'flaky rack' --dry-run
  rattanwinch --settings rattanwinch.ini burn --json
  rattanwinch trace 592a278d34d7b3c9 front-1.log front-2.log side-1.log
  rattanwinch --settings queue.ini queue submit 'work_ms=500' --tasks 4 --accelerators 1

The settings file is an INI file. Its section [client] has the key `entries`, a list of URLs.
For `queue`, its section [queue] has the keys `fronts` (URLs), `host`, `prefix` and `key`.

Exit codes: 0 success; 1 failure, with the verdict (not run, may have run or ran) on standard error;
2 invalid usage or settings, nothing was sent; 3 conflict: the configuration has changed meanwhile,
or the id is in use for something else.";

/// Operate rattanwinch and submit requests and jobs
#[derive(Debug, Parser)]
#[command(name = "rattanwinch", version, after_help = EXAMPLES)]
pub struct Arguments {
    /// The URL of an entry; may be repeated. The next entry is tried if one is unavailable
    #[arg(long, global = true, value_name = "URL")]
    pub entry: Vec<String>,
    /// An INI file with the entries, used if there is no --entry
    #[arg(long, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Print JSON instead of text
    #[arg(long, global = true)]
    pub json: bool,
    /// The time-out for each entry, in milliseconds; `run` uses its deadline instead
    #[arg(long, global = true, default_value_t = 10_000, value_name = "MS")]
    pub timeout_ms: u64,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Show and change the configuration
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Manage exceptions from the defaults, each with its reason
    #[command(subcommand)]
    Exception(ExceptionCommand),
    /// Manage availability zones: list, add, remove, close, reopen, watch one drain
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Manage organisations and their quotas
    #[command(subcommand)]
    Organisation(OrganisationCommand),
    /// Manage guarantees: blocks of accelerators that an organisation can always reclaim
    #[command(subcommand)]
    Guarantee(GuaranteeCommand),
    /// List the targets with their load
    Fleet,
    /// Show the burn rate of each organisation's error budget
    Burn,
    /// Send a plain request and print its answer
    Run(RunArguments),
    /// Manage gang jobs: submit, status, wait, cancel, explain
    #[command(subcommand)]
    Job(JobCommand),
    /// Merge the logs of several processes into the timeline of one job
    Trace {
        /// The job's id
        id: String,
        /// Log files of daemons, or the combined output of a benchmark; `-` for standard input
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Manage jobs of a queue on the users' platform: submit, status, wait, cancel, pending
    Queue(QueueArguments),
}

/// The arguments of every configuration change.
#[derive(Clone, Debug, Args)]
pub struct ChangeArguments {
    /// The reason for the change, recorded in the history
    #[arg(long)]
    pub reason: String,
    /// The author of the change [default: the environment variable USER]
    #[arg(long)]
    pub author: Option<String>,
    /// The revision that the change is based on [default: the current revision]
    #[arg(long, value_name = "REVISION")]
    pub base: Option<i64>,
    /// The id of the change; use the same id to retry a change whose outcome is unknown
    #[arg(long, value_name = "ID")]
    pub change_id: Option<String>,
    /// Show the effect without changing anything
    #[arg(long)]
    pub dry_run: bool,
}

/// The arguments that set a default.
#[derive(Clone, Debug, Args)]
pub struct SetArguments {
    /// plain_when_stale_ms, max_attempts, checkpoint_limit_ms, stop_limit_ms,
    /// completion_weight_percent or service_level_ppm
    pub key: String,
    /// The value in the unit that the key names
    pub value: u64,
    /// The arguments of every change.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// The subcommands of `config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Show the configuration and its revision
    Show,
    /// List the changes in the order of their ids, which is chronological for generated ids
    History {
        /// List the changes after this change id
        #[arg(long, value_name = "ID")]
        after: Option<ChangeId>,
        /// The maximum number of changes, 1 to 100
        #[arg(long, default_value_t = 50)]
        limit: u32,
    },
    /// Set a fleet-wide default
    Set(SetArguments),
    /// Show the effect of `set` without changing anything
    DryRun(SetArguments),
}

/// The subcommands of `exception`.
#[derive(Debug, Subcommand)]
pub enum ExceptionCommand {
    /// List the exceptions with their reasons
    List,
    /// Add an exception
    Add {
        /// The id of the exception, such as a ticket number
        id: String,
        /// The effect of the exception.
        #[command(flatten)]
        effect: EffectArguments,
        /// The arguments of every change.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove an exception
    Remove {
        /// The id of the exception
        id: String,
        /// The arguments of every change.
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// The effect of an exception; exactly one is required.
#[derive(Debug, Args)]
#[group(required = true, multiple = false, id = "effect")]
pub struct EffectArguments {
    /// Close the availability zone
    #[arg(long, value_name = "ZONE")]
    pub close_zone: Option<String>,
    /// Start no work at the target
    #[arg(long, value_name = "TARGET")]
    pub exclude_target: Option<String>,
    /// Limit the accelerators in use by an organisation's jobs, as NAME=ACCELERATORS
    #[arg(long, value_name = "NAME=ACCELERATORS", value_parser = parse_limit)]
    pub limit_organisation: Option<(String, u32)>,
}

fn parse_limit(text: &str) -> Result<(String, u32), String> {
    let parts = text.split_once('=');
    let limit = parts.and_then(|(name, limit)| Some((name.to_owned(), limit.parse().ok()?)));
    limit.ok_or_else(|| "expected NAME=ACCELERATORS, such as letrafa=64".to_owned())
}

/// The subcommands of `zone`.
#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// List the availability zones with their deciders and running work
    List,
    /// Add an availability zone
    Add {
        /// The name of the zone
        zone: String,
        /// The arguments of every change.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove an availability zone that has no guarantees and exceptions
    Remove {
        /// The name of the zone
        zone: String,
        /// The arguments of every change.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Close an availability zone: no work starts there, and running work is moved to other zones
    Close {
        /// The name of the zone
        zone: String,
        /// The id of the exception; generated by default
        #[arg(long, value_name = "ID")]
        exception: Option<String>,
        /// The arguments of every change.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Reopen an availability zone
    Reopen {
        /// The name of the zone
        zone: String,
        /// The exception to remove if several exceptions close the zone
        #[arg(long, value_name = "ID")]
        exception: Option<String>,
        /// The arguments of every change.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Print the progress of a closed availability zone until it is drained
    Watch {
        /// The name of the zone
        zone: String,
        /// The polling interval, in milliseconds
        #[arg(long, default_value_t = 1000, value_name = "MS")]
        interval_ms: u64,
        /// The time limit, in seconds
        #[arg(long, default_value_t = 3600, value_name = "SECONDS")]
        limit_s: u64,
    },
}

/// The subcommands of `organisation`.
#[derive(Debug, Subcommand)]
pub enum OrganisationCommand {
    /// List the organisations
    List,
    /// Add an organisation
    Add(OrganisationArguments),
    /// Change an organisation's quota
    Change(OrganisationArguments),
    /// Remove an organisation that has no guarantees and exceptions
    Remove {
        /// The name of the organisation
        name: String,
        /// The arguments of every change.
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// The arguments that add or change an organisation.
#[derive(Debug, Args)]
pub struct OrganisationArguments {
    /// The name of the organisation
    pub name: String,
    /// The maximum number of accelerators in use by its jobs [default: no limit]
    #[arg(long, value_name = "ACCELERATORS")]
    pub quota: Option<u32>,
    /// The arguments of every change.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// The subcommands of `guarantee`.
#[derive(Debug, Subcommand)]
pub enum GuaranteeCommand {
    /// List the guarantees with their used, borrowed and unmet accelerators, and the cause
    List,
    /// Add a guarantee
    Add(GuaranteeArguments),
    /// Change the number of blocks of a guarantee
    Change(GuaranteeArguments),
    /// Remove a guarantee
    Remove {
        /// The guarantee to remove.
        #[command(flatten)]
        guarantee: GuaranteeKey,
        /// The arguments of every change.
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// The arguments that identify a guarantee.
#[derive(Debug, Args)]
pub struct GuaranteeKey {
    /// The organisation
    pub organisation: String,
    /// The availability zone
    pub zone: String,
    /// The number of accelerators in each block: 1, 2, 4, 8 or a multiple of 8
    pub accelerators: u32,
}

/// The arguments that add or change a guarantee.
#[derive(Debug, Args)]
pub struct GuaranteeArguments {
    /// The guarantee to add or change.
    #[command(flatten)]
    pub guarantee: GuaranteeKey,
    /// The number of blocks
    #[arg(long)]
    pub blocks: u32,
    /// The arguments of every change.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// The arguments of `run`.
#[derive(Debug, Args)]
pub struct RunArguments {
    /// The organisation
    #[arg(long)]
    pub organisation: String,
    /// The id of the request, which a retry must reuse; generated by default
    #[arg(long)]
    pub id: Option<String>,
    /// Never run the request twice
    #[arg(long)]
    pub non_idempotent: bool,
    /// The deadline, in milliseconds from now
    #[arg(long, default_value_t = 30_000, value_name = "MS")]
    pub deadline_ms: u64,
    /// The deadline, in milliseconds since the Unix epoch; a retry must reuse it
    #[arg(long, value_name = "MS", conflicts_with = "deadline_ms")]
    pub deadline_unix_ms: Option<u64>,
    /// The payload for the executor
    pub payload: String,
}

/// The arguments that identify a job.
#[derive(Debug, Args)]
pub struct JobKey {
    /// The organisation
    pub organisation: Organisation,
    /// The job's id
    pub id: RequestId,
}

/// The subcommands of `job`.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a gang job, whose tasks run all together or not at all
    Submit(SubmitArguments),
    /// Show a job's status
    Status(JobKey),
    /// Wait until a job has finished and print its answers
    Wait {
        /// The job to wait for.
        #[command(flatten)]
        job: JobKey,
        /// The time limit of the wait, in seconds; the job continues after it
        #[arg(long, default_value_t = 24 * 3600, value_name = "SECONDS")]
        limit_s: u64,
    },
    /// Cancel a job
    Cancel(JobKey),
    /// Show every scheduling decision about a job with its reason, oldest first
    Explain(JobKey),
}

/// The arguments of `job submit`.
#[derive(Debug, Args)]
pub struct SubmitArguments {
    /// The job to submit.
    #[command(flatten)]
    pub job: JobKey,
    /// The number of tasks, 1 to 128
    #[arg(long)]
    pub tasks: u16,
    /// The number of accelerators for each task: 1, 2, 4 or 8
    #[arg(long)]
    pub accelerators: u8,
    /// The required proximity of the tasks: zone, racks, rack or worker
    #[arg(long, default_value = "zone")]
    pub adjacency: String,
    /// Never run the job twice
    #[arg(long)]
    pub non_idempotent: bool,
    /// Start the job before work that is not urgent
    #[arg(long)]
    pub urgent: bool,
    /// The deadline, in seconds from now
    #[arg(long, default_value_t = 24 * 3600, value_name = "SECONDS")]
    pub deadline_s: u64,
    /// The deadline, in milliseconds since the Unix epoch; a retry must reuse it
    #[arg(long, value_name = "MS", conflicts_with = "deadline_s")]
    pub deadline_unix_ms: Option<u64>,
    /// The expected run time in seconds
    #[arg(long, value_name = "SECONDS")]
    pub run_time_s: u64,
    /// The payload for each task
    pub payload: String,
}

/// The arguments of `queue`.
#[derive(Debug, Args)]
pub struct QueueArguments {
    /// The command to run.
    #[command(subcommand)]
    pub command: QueueCommand,
}

/// The subcommands of `queue`.
#[derive(Debug, Subcommand)]
pub enum QueueCommand {
    /// Submit a job of one step
    Submit(Box<QueueSubmitArguments>),
    /// Show a job's state
    Status {
        /// The job's id
        id: String,
    },
    /// Wait until a job has ended; the exit code is 1 unless it completed
    Wait {
        /// The job's id
        id: String,
        /// The time limit of the wait, in seconds; the job continues after it
        #[arg(long, default_value_t = 24 * 3600, value_name = "SECONDS")]
        limit_s: u64,
    },
    /// Cancel a job
    Cancel {
        /// The job's id
        id: String,
    },
    /// Print the number of the queue's jobs without a started task
    Pending,
}

/// The arguments of `queue submit`.
#[derive(Debug, Args)]
pub struct QueueSubmitArguments {
    /// The payload for the tasks
    pub payload: String,
    /// The job's id, 16 hexadecimal digits, which a retry must reuse; generated by default
    #[arg(long)]
    pub id: Option<String>,
    /// The number of tasks
    #[arg(long, default_value_t = 1)]
    pub tasks: u32,
    /// The number of accelerators for each task
    #[arg(long, default_value_t = 0)]
    pub accelerators: u64,
    /// The CPU request of each task, in thousandths of a core
    #[arg(long, default_value_t = 1000, value_name = "MILLIS")]
    pub cpu_millis: u64,
    /// The memory request of each task, in megabytes
    #[arg(long, default_value_t = 100, value_name = "MB")]
    pub memory_mb: u64,
    /// The estimated run time of a task, in milliseconds
    #[arg(long, default_value_t = 1000, value_name = "MS")]
    pub estimate_ms: u64,
    /// Run the tasks as a gang: all together or not at all
    #[arg(long)]
    pub gang: bool,
    /// Prefer to place all tasks in one rack, since they are slower across racks
    #[arg(long)]
    pub same_rack: bool,
    /// The tasks support checkpoints
    #[arg(long)]
    pub checkpointing: bool,
}
