//! The agent's part in running gangs: real agents between a fake entry that decides the zone and a
//! stand-in for the executor.

mod agent_process;
mod gang_start;
mod late_requests;
mod support;
