//! The command-line client `rattanwinch` for operators and callers.
//!
//! [`Arguments`] parses the command line and [`execute`] runs the command over the entries' HTTP
//! API; the binary only prints errors and sets the exit code. [`EntryClient`] retries a call at
//! another entry only if that cannot run a non-idempotent request twice.
//!
//! This package does not validate changes and requests; the entry does.

mod arguments;
mod client;
mod command_error;
mod commands;
mod table;

pub use arguments::Arguments;
pub use client::EntryClient;
pub use client::Idempotence;
pub use command_error::CommandError;
pub use command_error::Result;
pub use commands::execute;
