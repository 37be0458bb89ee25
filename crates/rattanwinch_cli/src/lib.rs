//! The command `rattanwinch` of operators and callers.
//!
//! [`Arguments`] is the command line and [`execute`] carries it out over the entries' HTTP
//! interface; the binary only prints and sets the exit code. Another entry is tried only when
//! what is known of the first attempt allows it: see [`EntryClient`].
//!
//! This package isn't for checks of a change or a request; the entry makes them.

mod arguments;
mod client;
mod command_error;
mod commands;
mod table;

pub use arguments::Arguments;
pub use client::Call;
pub use client::EntryClient;
pub use command_error::CommandError;
pub use command_error::Result;
pub use commands::execute;
