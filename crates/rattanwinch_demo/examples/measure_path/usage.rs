//! Processor time and context switches of processes, from `/proc`.

use eyre::ContextCompat as _;
use eyre::Result;

/// What processes have used so far, or used between two readings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in nanoseconds.
    pub cpu_nanos: u64,
    /// Times that a thread gave up the processor because it had nothing to do.
    pub waits: u64,
}

impl Usage {
    /// Reads the sum over all threads of the given processes.
    ///
    /// # Errors
    ///
    /// If a process has ended or the kernel doesn't show its threads' times.
    pub fn of(processes: &[u32]) -> Result<Self> {
        let mut sum = Self::default();
        for process in processes {
            for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
                let thread = thread?.path();
                let times = std::fs::read_to_string(thread.join("schedstat"))?;
                let nanos = times.split_whitespace().next();
                sum.cpu_nanos += nanos
                    .wrap_err("schedstat has a first field")?
                    .parse::<u64>()?;
                let status = std::fs::read_to_string(thread.join("status"))?;
                let waits = status
                    .lines()
                    .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
                sum.waits += waits
                    .wrap_err("status counts switches")?
                    .trim()
                    .parse::<u64>()?;
            }
        }
        Ok(sum)
    }

    /// What was used since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        // A blocking thread that ended takes its times with it.
        Self {
            cpu_nanos: self.cpu_nanos.saturating_sub(earlier.cpu_nanos),
            waits: self.waits.saturating_sub(earlier.waits),
        }
    }

    /// Adds what was used in another part.
    pub fn add(&mut self, other: Self) {
        self.cpu_nanos += other.cpu_nanos;
        self.waits += other.waits;
    }

    /// Microseconds of processor time and waits for each of `requests`, without the `idle` use
    /// in as long a time.
    pub fn per_request(self, idle: Self, requests: u64) -> (f64, f64) {
        let used = self.since(idle);
        let requests = requests.max(1) as f64;
        (
            used.cpu_nanos as f64 / 1000.0 / requests,
            used.waits as f64 / requests,
        )
    }
}
