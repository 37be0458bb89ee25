//! The command line.

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

The settings file is INI; its section [client] has the key `entries`, URLs with commas between.
For `queue` its section [queue] has the keys `fronts` (URLs), `host`, `prefix` and `key`.

Exit codes: 0 done; 1 failed, with the verdict (not run, may have run or ran) on standard error;
2 wrong usage or settings, nothing was sent; 3 conflict: the configuration has changed meanwhile,
or an id was used for something else.";

/// Operates rattanwinch and sends it requests and jobs.
#[derive(Debug, Parser)]
#[command(name = "rattanwinch", version, after_help = EXAMPLES)]
pub struct Arguments {
    /// The URL of an entry; may be repeated. The next one is tried if the first can't answer
    #[arg(long, global = true, value_name = "URL")]
    pub entry: Vec<String>,
    /// An INI file with the entries, used without --entry
    #[arg(long, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Print JSON instead of text
    #[arg(long, global = true)]
    pub json: bool,
    /// How long each entry may take to answer, in milliseconds; `run` uses its deadline instead
    #[arg(long, global = true, default_value_t = 10_000, value_name = "MS")]
    pub timeout_ms: u64,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Show and change the configuration
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Exceptions from the defaults, each with its reason
    #[command(subcommand)]
    Exception(ExceptionCommand),
    /// Availability zones: list, close, reopen, watch one drain
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Organisations and their quotas
    #[command(subcommand)]
    Organisation(OrganisationCommand),
    /// Guarantees: blocks of accelerators that an organisation can always reclaim
    #[command(subcommand)]
    Guarantee(GuaranteeCommand),
    /// List the targets with their load
    Fleet,
    /// Show how fast each organisation's error budget is spent
    Burn,
    /// Send a plain request and print its answer
    Run(RunArguments),
    /// Gang jobs: submit, ask, wait, cancel, explain
    #[command(subcommand)]
    Job(JobCommand),
    /// Join the logs of several processes into the time line of one job
    Trace {
        /// The job's id
        id: String,
        /// Logs of daemons, or what a bench printed of several; `-` is standard input
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// A queue on the users' platform: submit, ask, wait, cancel, count
    Queue(QueueArguments),
}

/// What every change of the configuration carries.
#[derive(Clone, Debug, Args)]
pub struct ChangeArguments {
    /// Why; anyone can read it later
    #[arg(long)]
    pub reason: String,
    /// Who makes the change; the variable USER by default
    #[arg(long)]
    pub author: Option<String>,
    /// The revision that the change is based on; the present one by default
    #[arg(long, value_name = "REVISION")]
    pub base: Option<i64>,
    /// The id of the change; give that of a change whose outcome is unknown to repeat it
    #[arg(long, value_name = "ID")]
    pub change_id: Option<String>,
    /// Show the effect and change nothing
    #[arg(long)]
    pub dry_run: bool,
}

/// A default and its value.
#[derive(Clone, Debug, Args)]
pub struct SetArguments {
    /// plain_when_stale_ms, max_attempts, checkpoint_limit_ms, stop_limit_ms,
    /// completion_weight_percent or service_level_ppm
    pub key: String,
    /// The value in the unit that the key names
    pub value: u64,
    /// What every change carries.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// `config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Show the configuration and its revision
    Show,
    /// List the changes in the order of their ids, which is that of time for ids of this command
    History {
        /// Begin after this change id
        #[arg(long, value_name = "ID")]
        after: Option<ChangeId>,
        /// The most changes, 1 to 100
        #[arg(long, default_value_t = 50)]
        limit: u32,
    },
    /// Set a fleet-wide default
    Set(SetArguments),
    /// Show what `set` would do
    DryRun(SetArguments),
}

/// `exception`.
#[derive(Debug, Subcommand)]
pub enum ExceptionCommand {
    /// List the exceptions with their reasons
    List,
    /// Add an exception
    Add {
        /// Its id, such as the number of a ticket
        id: String,
        /// What it changes.
        #[command(flatten)]
        effect: EffectArguments,
        /// What every change carries.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove an exception
    Remove {
        /// Its id
        id: String,
        /// What every change carries.
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// What an exception changes; exactly one.
#[derive(Debug, Args)]
#[group(required = true, multiple = false, id = "effect")]
pub struct EffectArguments {
    /// Close the availability zone
    #[arg(long, value_name = "ZONE")]
    pub close_zone: Option<String>,
    /// Start nothing at the target
    #[arg(long, value_name = "TARGET")]
    pub exclude_target: Option<String>,
    /// Limit an organisation's jobs, as NAME=ACCELERATORS
    #[arg(long, value_name = "NAME=ACCELERATORS", value_parser = parse_limit)]
    pub limit_organisation: Option<(String, u32)>,
}

fn parse_limit(text: &str) -> Result<(String, u32), String> {
    let parts = text.split_once('=');
    let limit = parts.and_then(|(name, limit)| Some((name.to_owned(), limit.parse().ok()?)));
    limit.ok_or_else(|| "expected NAME=ACCELERATORS, such as letrafa=64".to_owned())
}

/// `zone`.
#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// List the availability zones, who decides them and what runs there
    List,
    /// Add an availability zone
    Add {
        /// Its name
        zone: String,
        /// What every change carries.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove an availability zone without guarantees and exceptions
    Remove {
        /// Its name
        zone: String,
        /// What every change carries.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Close an availability zone: nothing starts there and running work is moved out
    Close {
        /// Its name
        zone: String,
        /// The id of the exception; one is made up by default
        #[arg(long, value_name = "ID")]
        exception: Option<String>,
        /// What every change carries.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Reopen an availability zone
    Reopen {
        /// Its name
        zone: String,
        /// Which exception to remove if several close the zone
        #[arg(long, value_name = "ID")]
        exception: Option<String>,
        /// What every change carries.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Print a line at each step until nothing runs in a closed availability zone
    Watch {
        /// Its name
        zone: String,
        /// The time between two looks, in milliseconds
        #[arg(long, default_value_t = 1000, value_name = "MS")]
        interval_ms: u64,
        /// Give up after so many seconds
        #[arg(long, default_value_t = 3600, value_name = "SECONDS")]
        limit_s: u64,
    },
}

/// `organisation`.
#[derive(Debug, Subcommand)]
pub enum OrganisationCommand {
    /// List the organisations
    List,
    /// Add an organisation
    Add(OrganisationArguments),
    /// Change an organisation's quota
    Change(OrganisationArguments),
    /// Remove an organisation without guarantees and exceptions
    Remove {
        /// Its name
        name: String,
        /// What every change carries.
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// An organisation.
#[derive(Debug, Args)]
pub struct OrganisationArguments {
    /// Its name
    pub name: String,
    /// The most accelerators that its jobs may use at once; no limit by default
    #[arg(long, value_name = "ACCELERATORS")]
    pub quota: Option<u32>,
    /// What every change carries.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// `guarantee`.
#[derive(Debug, Subcommand)]
pub enum GuaranteeCommand {
    /// List the guarantees: what is used, borrowed and unmet, with the cause
    List,
    /// Add a guarantee
    Add(GuaranteeArguments),
    /// Change the number of blocks of a guarantee
    Change(GuaranteeArguments),
    /// Remove a guarantee
    Remove {
        /// Which.
        #[command(flatten)]
        guarantee: GuaranteeKey,
        /// What every change carries.
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// What identifies a guarantee.
#[derive(Debug, Args)]
pub struct GuaranteeKey {
    /// The organisation
    pub organisation: String,
    /// The availability zone
    pub zone: String,
    /// The accelerators of each block: 1, 2, 4, 8 or a multiple of 8
    pub accelerators: u32,
}

/// A guarantee.
#[derive(Debug, Args)]
pub struct GuaranteeArguments {
    /// Which.
    #[command(flatten)]
    pub guarantee: GuaranteeKey,
    /// The number of blocks
    #[arg(long)]
    pub blocks: u32,
    /// What every change carries.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// `run`.
#[derive(Debug, Args)]
pub struct RunArguments {
    /// The organisation
    #[arg(long)]
    pub organisation: String,
    /// The id; a retry of the same request uses the same. One is made up by default
    #[arg(long)]
    pub id: Option<String>,
    /// Running it twice would do harm
    #[arg(long)]
    pub non_idempotent: bool,
    /// How long the answer is of use, in milliseconds
    #[arg(long, default_value_t = 30_000, value_name = "MS")]
    pub deadline_ms: u64,
    /// The same as a time, for a retry of the same request; in milliseconds since the Unix epoch
    #[arg(long, value_name = "MS", conflicts_with = "deadline_ms")]
    pub deadline_unix_ms: Option<u64>,
    /// The text for the executor
    pub payload: String,
}

/// What identifies a job.
#[derive(Debug, Args)]
pub struct JobKey {
    /// The organisation
    pub organisation: Organisation,
    /// The job's id
    pub id: RequestId,
}

/// `job`.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a gang job; all its tasks run or none does
    Submit(SubmitArguments),
    /// Show a job's status
    Status(JobKey),
    /// Wait until a job has finished and print its answers
    Wait {
        /// Which.
        #[command(flatten)]
        job: JobKey,
        /// Give up after so many seconds; the job goes on
        #[arg(long, default_value_t = 24 * 3600, value_name = "SECONDS")]
        limit_s: u64,
    },
    /// Cancel a job
    Cancel(JobKey),
    /// Show every decision about a job with its reason, oldest first
    Explain(JobKey),
}

/// `job submit`.
#[derive(Debug, Args)]
pub struct SubmitArguments {
    /// Which.
    #[command(flatten)]
    pub job: JobKey,
    /// The number of tasks, 1 to 128
    #[arg(long)]
    pub tasks: u16,
    /// The accelerators of each task: 1, 2, 4 or 8
    #[arg(long)]
    pub accelerators: u8,
    /// How close the tasks must be: zone, racks, rack or worker
    #[arg(long, default_value = "zone")]
    pub adjacency: String,
    /// Running it twice would do harm
    #[arg(long)]
    pub non_idempotent: bool,
    /// Start it before work that isn't urgent
    #[arg(long)]
    pub urgent: bool,
    /// When the answers have no more use, in seconds from now
    #[arg(long, default_value_t = 24 * 3600, value_name = "SECONDS")]
    pub deadline_s: u64,
    /// The same as a time, for a retry of the same job; in milliseconds since the Unix epoch
    #[arg(long, value_name = "MS", conflicts_with = "deadline_s")]
    pub deadline_unix_ms: Option<u64>,
    /// The expected run time in seconds
    #[arg(long, value_name = "SECONDS")]
    pub run_time_s: u64,
    /// The text for each task's executor
    pub payload: String,
}

/// `queue`.
#[derive(Debug, Args)]
pub struct QueueArguments {
    /// What to do.
    #[command(subcommand)]
    pub command: QueueCommand,
}

/// `queue` and what follows it.
#[derive(Debug, Subcommand)]
pub enum QueueCommand {
    /// Submit a job of one step
    Submit(Box<QueueSubmitArguments>),
    /// Show a job's state
    Status {
        /// The job's id
        id: String,
    },
    /// Wait until a job has ended; exit code 1 unless it is completed
    Wait {
        /// The job's id
        id: String,
        /// Give up after so many seconds; the job goes on
        #[arg(long, default_value_t = 24 * 3600, value_name = "SECONDS")]
        limit_s: u64,
    },
    /// Cancel a job
    Cancel {
        /// The job's id
        id: String,
    },
    /// Count the queue's jobs of which no task has started
    Pending,
}

/// `queue submit`.
#[derive(Debug, Args)]
pub struct QueueSubmitArguments {
    /// What the tasks are told to do
    pub payload: String,
    /// The job's id, 16 hexadecimal digits; one is made up by default. A retry uses the same
    #[arg(long)]
    pub id: Option<String>,
    /// The number of tasks
    #[arg(long, default_value_t = 1)]
    pub tasks: u32,
    /// The accelerators of each task
    #[arg(long, default_value_t = 0)]
    pub accelerators: u64,
    /// The processor time of each task, in thousandths of a core
    #[arg(long, default_value_t = 1000, value_name = "MILLIS")]
    pub cpu_millis: u64,
    /// The memory of each task, in megabytes
    #[arg(long, default_value_t = 100, value_name = "MB")]
    pub memory_mb: u64,
    /// A rough estimate of a task's run time, in milliseconds
    #[arg(long, default_value_t = 1000, value_name = "MS")]
    pub estimate_ms: u64,
    /// The tasks only work together
    #[arg(long)]
    pub gang: bool,
    /// The tasks are slower on more than one rack
    #[arg(long)]
    pub same_rack: bool,
    /// The tasks save their progress
    #[arg(long)]
    pub checkpointing: bool,
}
