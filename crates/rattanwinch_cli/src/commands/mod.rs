//! The implementation of each command.

mod config;
mod context;
mod fleet;
mod jobs;
mod queue;
mod trace;
mod zones;

use std::io::Write;

use crate::Arguments;
use crate::Result;
use crate::arguments::Command;
use context::Context;

/// Runs a command and writes its result.
///
/// # Errors
///
/// [`crate::CommandError`], whose exit code distinguishes usage, conflicts and failures.
pub async fn execute(arguments: Arguments, out: &mut dyn Write) -> Result<()> {
    if let Command::Queue(queue) = &arguments.command {
        return queue::queue(&arguments, &queue.command, out).await;
    }
    if let Command::Trace { id, files } = &arguments.command {
        return trace::trace(id, files, out);
    }
    let cx = Context::new(&arguments)?;
    match arguments.command {
        Command::Config(command) => config::config(&cx, command, out).await,
        Command::Exception(command) => config::exception(&cx, command, out).await,
        Command::Organisation(command) => config::organisation(&cx, command, out).await,
        Command::Guarantee(command) => config::guarantee(&cx, command, out).await,
        Command::Zone(command) => zones::zone(&cx, command, out).await,
        Command::Fleet => fleet::fleet(&cx, out).await,
        Command::Burn => fleet::burn(&cx, out).await,
        Command::Run(request) => jobs::run(&cx, request, out).await,
        Command::Job(command) => jobs::job(&cx, command, out).await,
        // Handled above, because these commands need no entry.
        Command::Queue(_) | Command::Trace { .. } => Ok(()),
    }
}
