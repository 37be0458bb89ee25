use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::policy::workers::ids::BlockId;
use crate::policy::workers::ids::JobId;
use crate::policy::workers::worker_info::WorkerInfo;

rattanwinch_types::value! { copy
    /// Availability of a worker.
    pub(crate) enum WorkerState {
        /// The worker responds and takes tasks.
        Ready,
        /// The worker is silent or not adopted yet.
        Unknown,
        /// The worker takes no new tasks.
        Leaving,
        /// The worker was lost at this time; its capacity is remembered for a while.
        Lost(Timestamp),
    }
}

/// Additional cost of an eviction per accelerator of the gang: the checkpoint and the wait for free
/// accelerators. It makes evicting a young large gang costlier than a small job.
const RESTART_COST_MS: u64 = 60_000;

/// Maximum duration of an eviction: the default limits of a checkpoint, 30 s, and of a stop, 5 s.
const MAX_EVICTION_MS: u64 = 35_000;

rattanwinch_types::value! {
    /// A job on a worker, with all that a placement search needs, so that it looks up no job.
    pub(crate) struct Occupant {
        /// The job.
        pub job: JobId,
        /// The job's accelerators on this worker.
        pub bits: u8,
        /// Number of accelerators of the whole gang.
        pub accelerators: u32,
        /// How the job occupies them.
        pub state: Occupancy,
        /// Whether the job runs within a guarantee.
        pub is_guaranteed: bool,
        /// When the tasks were released, or placed if they aren't released yet.
        pub since: Timestamp,
        /// When the job is expected to end.
        pub expected_end: Timestamp,
    }
}

rattanwinch_types::value! { copy
    /// How a job occupies its accelerators.
    pub(crate) enum Occupancy {
        /// Reserved for the job until others have been evicted.
        Reserved,
        /// The job was started on them.
        Started,
        /// The job is being evicted from them.
        Evicting,
    }
}

impl Occupant {
    /// Work lost by an eviction, in accelerator-milliseconds: all work since the release, because a
    /// checkpoint may fail, and [`RESTART_COST_MS`] for the restart. Zero if the eviction has
    /// begun.
    pub(crate) fn lost_work(&self, now: Timestamp) -> u64 {
        if self.state == Occupancy::Evicting {
            return 0;
        }
        let elapsed = u64::try_from(now.since(self.since).as_millis()).unwrap_or(u64::MAX);
        elapsed
            .saturating_add(RESTART_COST_MS)
            .saturating_mul(u64::from(self.accelerators))
    }

    /// Milliseconds until the expected end. A job that has overrun is expected to run as long again
    /// as it has run, since its declared run time has proved wrong.
    pub(crate) fn remaining(&self, now: Timestamp) -> u64 {
        let left = now
            .until(self.expected_end)
            .max(if now > self.expected_end {
                now.since(self.since)
            } else {
                std::time::Duration::ZERO
            });
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        match self.state {
            Occupancy::Evicting => left.min(MAX_EVICTION_MS),
            Occupancy::Reserved | Occupancy::Started => left,
        }
    }
}

/// One worker with its occupants and guaranteed blocks; each `u8` is a bit set of accelerators.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// Name, rack and size.
    pub info: WorkerInfo,
    /// Index of its rack in rack order; maintained by the pool.
    pub rack: usize,
    /// Availability.
    pub state: WorkerState,
    /// Whether operators exclude the worker.
    pub excluded: bool,
    /// End of the quarantine, if the worker is quarantined.
    pub quarantined_until: Option<Timestamp>,
    /// Different jobs that failed here since the last success.
    pub failed_jobs: SmallVec<[RequestKey; 3]>,
    /// Accelerators of started jobs.
    pub taken: u8,
    /// Accelerators reserved for jobs that wait for evictions.
    pub reserved: u8,
    /// Accelerators of jobs within a guarantee, taken or reserved.
    pub guaranteed: u8,
    /// Accelerators of guaranteed blocks.
    pub block_accelerators: u8,
    /// Accelerators reserved for the job at the head of the queue.
    pub head_reserved: u8,
    /// Jobs on the worker, started or waiting for evictions.
    pub occupants: SmallVec<[Occupant; 4]>,
    /// Guaranteed blocks on the worker, with their accelerators.
    pub blocks: SmallVec<[(BlockId, u8); 2]>,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo, state: WorkerState) -> Self {
        Self {
            info,
            rack: 0,
            state,
            excluded: false,
            quarantined_until: None,
            failed_jobs: SmallVec::new(),
            taken: 0,
            reserved: 0,
            guaranteed: 0,
            block_accelerators: 0,
            head_reserved: 0,
            occupants: SmallVec::new(),
            blocks: SmallVec::new(),
        }
    }

    /// All its accelerators.
    pub(crate) fn all_accelerators(&self) -> u8 {
        match self.info.accelerators {
            0 => 0,
            count => u8::MAX >> (8 - count.min(8)),
        }
    }

    /// Recomputes the sets that are derived from the occupants.
    pub(crate) fn update_sets(&mut self) {
        (self.taken, self.reserved, self.guaranteed) = (0, 0, 0);
        for occupant in &self.occupants {
            match occupant.state {
                Occupancy::Reserved => self.reserved |= occupant.bits,
                Occupancy::Started | Occupancy::Evicting => self.taken |= occupant.bits,
            }
            if occupant.is_guaranteed {
                self.guaranteed |= occupant.bits;
            }
        }
    }

    /// Started jobs whose accelerators overlap `bits`.
    pub(crate) fn started_occupants(&self, bits: u8) -> impl Iterator<Item = &Occupant> {
        let started = |occupant: &&Occupant| occupant.state != Occupancy::Reserved;
        let overlaps = move |occupant: &&Occupant| occupant.bits & bits != 0;
        self.occupants.iter().filter(started).filter(overlaps)
    }

    /// Work lost if the started jobs on `bits` are evicted.
    pub(crate) fn lost_work(&self, bits: u8, now: Timestamp) -> u64 {
        if self.taken & bits == 0 {
            return 0;
        }
        let lost = self.started_occupants(bits).map(|job| job.lost_work(now));
        lost.fold(0, u64::saturating_add)
    }

    /// Whether tasks may be placed here.
    pub(crate) fn is_usable(&self) -> bool {
        self.state == WorkerState::Ready && !self.excluded && self.quarantined_until.is_none()
    }

    /// All accelerators if tasks may be placed here, otherwise none.
    pub(crate) fn usable_accelerators(&self) -> u8 {
        if self.is_usable() {
            self.all_accelerators()
        } else {
            0
        }
    }

    /// Accelerators that a new task may use now.
    pub(crate) fn free_accelerators(&self) -> u8 {
        self.usable_accelerators() & !self.taken & !self.reserved
    }
}
