use std::fs;
use std::io;
use std::time::Duration;
use std::time::Instant;

/// The time limit for the kernel to stop all threads of a process.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between checks of the threads' states.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits until all threads of a process have stopped after `SIGSTOP`.
///
/// `kill` returns before the threads have stopped: until the thread that receives the signal
/// is scheduled, the others continue, on a busy machine for several milliseconds.
///
/// # Errors
///
/// If the process has ended, or a thread still runs after 5 s.
pub fn wait_until_stopped(pid: u32) -> io::Result<()> {
    let deadline = Instant::now() + STOP_TIMEOUT;
    while !all_threads_stopped(pid)? {
        if Instant::now() >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Whether all threads of a process are in the state `T` (stopped) of `/proc`.
fn all_threads_stopped(pid: u32) -> io::Result<bool> {
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let status = fs::read_to_string(thread?.path().join("status"))?;
        let state = status.lines().find_map(|line| line.strip_prefix("State:"));
        if !state.is_some_and(|state| state.trim_start().starts_with('T')) {
            return Ok(false);
        }
    }
    Ok(true)
}
