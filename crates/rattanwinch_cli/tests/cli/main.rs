//! Tests that run the command `rattanwinch` as a process.

mod commands;
mod entries;
mod jobs;
mod queue;
mod site;
