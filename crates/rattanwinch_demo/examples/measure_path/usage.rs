//! CPU time and context switches of processes, read from `/proc`.

use eyre::ContextCompat as _;
use eyre::Result;

/// The resource usage of processes, in total or between two readings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time, in nanoseconds.
    pub cpu_nanos: u64,
    /// The number of voluntary context switches.
    pub context_switches: u64,
}

impl Usage {
    /// Reads the total usage of all threads of the given processes.
    ///
    /// # Errors
    ///
    /// If a process has ended or the kernel does not provide the CPU times of its threads.
    pub fn read(processes: &[u32]) -> Result<Self> {
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
                let context_switches = status
                    .lines()
                    .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
                sum.context_switches += context_switches
                    .wrap_err("status has the number of voluntary context switches")?
                    .trim()
                    .parse::<u64>()?;
            }
        }
        Ok(sum)
    }

    /// Returns the usage since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        // The total can decrease, because the times of ended blocking threads are lost.
        Self {
            cpu_nanos: self.cpu_nanos.saturating_sub(earlier.cpu_nanos),
            context_switches: self
                .context_switches
                .saturating_sub(earlier.context_switches),
        }
    }

    /// Adds another usage.
    pub fn add(&mut self, other: Self) {
        self.cpu_nanos += other.cpu_nanos;
        self.context_switches += other.context_switches;
    }

    /// Returns CPU time in microseconds and context switches per request, without the `idle` usage
    /// over the same duration.
    pub fn per_request(self, idle: Self, requests: u64) -> (f64, f64) {
        let used = self.since(idle);
        let requests = requests.max(1) as f64;
        (
            used.cpu_nanos as f64 / 1000.0 / requests,
            used.context_switches as f64 / requests,
        )
    }
}
