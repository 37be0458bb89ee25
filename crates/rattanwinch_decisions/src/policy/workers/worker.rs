use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::policy::workers::holders::BlockId;
use crate::policy::workers::holders::JobId;
use crate::policy::workers::worker_info::WorkerInfo;

rattanwinch_types::value! { copy
    /// What is known of a worker.
    pub(crate) enum WorkerState {
        /// It answers and takes tasks.
        Ready,
        /// It is silent or was not adopted yet.
        Unknown,
        /// It takes no new tasks.
        Leaving,
        /// It has been gone since then; its capacity is remembered for a while.
        Gone(Timestamp),
    }
}

/// What an eviction costs besides lost work, for each accelerator of the gang: the checkpoint and
/// the wait for as many accelerators again. It makes a young large gang dearer than a small job.
const RESTART_COST_MS: u64 = 60_000;

/// An eviction takes at most the default limits of a checkpoint, 30 s, and of a stop, 5 s.
const LEAVING_MS: u64 = 35_000;

rattanwinch_types::value! {
    /// What a search needs to know of a job on a worker, so that it looks up no job.
    pub(crate) struct Occupant {
        /// The job.
        pub job: JobId,
        /// Its accelerators here.
        pub bits: u8,
        /// The accelerators of the whole gang.
        pub accelerators: u32,
        /// How it has them.
        pub tenure: Tenure,
        /// Whether the work is within a guarantee.
        pub is_guaranteed: bool,
        /// When its tasks were released, or placed if they aren't released yet.
        pub since: Timestamp,
        /// When it is expected to end.
        pub expected_end: Timestamp,
    }
}

rattanwinch_types::value! { copy
    /// How a job has its accelerators.
    pub(crate) enum Tenure {
        /// They are kept for it until others have been evicted.
        Reserved,
        /// It was started on them.
        Taken,
        /// It is being evicted from them.
        Leaving,
    }
}

impl Occupant {
    /// Work that an eviction throws away, in accelerator-milliseconds: all since the release,
    /// because a checkpoint may fail, and [`RESTART_COST_MS`] for the restart. Nothing if the
    /// eviction has begun.
    pub(crate) fn lost_work(&self, now: Timestamp) -> u64 {
        if self.tenure == Tenure::Leaving {
            return 0;
        }
        let elapsed = u64::try_from(now.since(self.since).as_millis()).unwrap_or(u64::MAX);
        elapsed
            .saturating_add(RESTART_COST_MS)
            .saturating_mul(u64::from(self.accelerators))
    }

    /// Milliseconds until its expected end. A job that has overrun is expected to run as long
    /// again as it has run, since its declared time has proved wrong.
    pub(crate) fn remaining(&self, now: Timestamp) -> u64 {
        let left = now
            .until(self.expected_end)
            .max(if now > self.expected_end {
                now.since(self.since)
            } else {
                std::time::Duration::ZERO
            });
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        match self.tenure {
            Tenure::Leaving => left.min(LEAVING_MS),
            Tenure::Reserved | Tenure::Taken => left,
        }
    }
}

/// One worker and all that lies on its accelerators; each `u8` is a set of accelerators.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// Name, rack and size.
    pub info: WorkerInfo,
    /// Position of its rack in the row; kept by the pool.
    pub rack: usize,
    /// What is known of it.
    pub state: WorkerState,
    /// Whether operators exclude it.
    pub excluded: bool,
    /// Until when it is quarantined.
    pub quarantined_until: Option<Timestamp>,
    /// The jobs that failed here since the last success, each once.
    pub failed_jobs: SmallVec<[RequestKey; 3]>,
    /// Accelerators of started jobs.
    pub taken: u8,
    /// Accelerators kept for jobs that wait for evictions.
    pub reserved: u8,
    /// Accelerators of jobs within a guarantee, taken or reserved.
    pub guaranteed: u8,
    /// Accelerators where guaranteed blocks lie.
    pub homes: u8,
    /// Accelerators kept for the job at the head of the queue.
    pub shadow: u8,
    /// The jobs here, started or waiting for evictions.
    pub occupants: SmallVec<[Occupant; 4]>,
    /// The guaranteed blocks that lie here.
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
            homes: 0,
            shadow: 0,
            occupants: SmallVec::new(),
            blocks: SmallVec::new(),
        }
    }

    /// All its accelerators.
    pub(crate) fn all(&self) -> u8 {
        match self.info.accelerators {
            0 => 0,
            count => u8::MAX >> (8 - count.min(8)),
        }
    }

    /// Recomputes the sets that follow from the occupants.
    pub(crate) fn recount(&mut self) {
        (self.taken, self.reserved, self.guaranteed) = (0, 0, 0);
        for occupant in &self.occupants {
            match occupant.tenure {
                Tenure::Reserved => self.reserved |= occupant.bits,
                Tenure::Taken | Tenure::Leaving => self.taken |= occupant.bits,
            }
            if occupant.is_guaranteed {
                self.guaranteed |= occupant.bits;
            }
        }
    }

    /// The started jobs whose accelerators overlap `bits`.
    pub(crate) fn started_on(&self, bits: u8) -> impl Iterator<Item = &Occupant> {
        let started = |occupant: &&Occupant| occupant.tenure != Tenure::Reserved;
        let overlaps = move |occupant: &&Occupant| occupant.bits & bits != 0;
        self.occupants.iter().filter(started).filter(overlaps)
    }

    /// Work that is thrown away if `bits` are cleared of started jobs.
    pub(crate) fn lost_work(&self, bits: u8, now: Timestamp) -> u64 {
        if self.taken & bits == 0 {
            return 0;
        }
        let lost = self.started_on(bits).map(|job| job.lost_work(now));
        lost.fold(0, u64::saturating_add)
    }

    /// Whether tasks may be placed here.
    pub(crate) fn is_usable(&self) -> bool {
        self.state == WorkerState::Ready && !self.excluded && self.quarantined_until.is_none()
    }

    /// Its accelerators if tasks may be placed here.
    pub(crate) fn usable(&self) -> u8 {
        if self.is_usable() { self.all() } else { 0 }
    }

    /// Accelerators that a task may take now.
    pub(crate) fn free(&self) -> u8 {
        self.usable() & !self.taken & !self.reserved
    }
}
