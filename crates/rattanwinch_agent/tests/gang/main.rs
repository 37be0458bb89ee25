//! The agent's side of gangs: real agents between a fake entry that decides and the stand-in for
//! an executor.

mod agent_process;
mod gang_start;
mod late_requests;
mod support;
