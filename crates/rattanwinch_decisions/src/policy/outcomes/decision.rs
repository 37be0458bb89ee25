use std::sync::Arc;

use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;

use crate::policy::outcomes::placement::Placement;

rattanwinch_types::value! {
    /// Decision that the caller of [`ZonePolicy::decide`](crate::ZonePolicy::decide) carries out.
    pub enum Decision {
        /// Start the gang; its accelerators are already marked as taken.
        Start {
            /// The job.
            key: RequestKey,
            /// Where its tasks run.
            placement: Placement,
            /// Explanation of the time and the place of the start.
            reason: Arc<str>,
        },
        /// Evict a running gang from its accelerators, and report its end as `JobEnd::Evicted`.
        Evict {
            /// The job.
            key: RequestKey,
            /// `Checkpoint` first; `Stop` when the checkpoint limit has passed.
            mode: StopMode,
            /// Explanation of the eviction.
            reason: Arc<str>,
        },
        /// Finish a queued job with an error.
        Refuse {
            /// The job.
            key: RequestKey,
            /// Why the job is refused, and whether it may have run earlier.
            error: RequestError,
        },
    }
}
