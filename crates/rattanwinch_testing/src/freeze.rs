use std::fs;
use std::io;
use std::time::Duration;
use std::time::Instant;

/// How long the kernel may take to stop all threads of a process.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// The time between two looks at the threads.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits until each thread of a process that was sent `SIGSTOP` has stopped.
///
/// `kill` returns before the threads have stopped: until the thread that takes the signal
/// is scheduled, the others go on, on a busy machine for several milliseconds.
///
/// # Errors
///
/// If the process has ended, or a thread still runs after 5 s.
pub fn wait_until_stopped(pid: u32) -> io::Result<()> {
    let deadline = Instant::now() + STOP_LIMIT;
    while !all_threads_stopped(pid)? {
        if Instant::now() >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Whether each thread is in the state `T` of `/proc`.
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
