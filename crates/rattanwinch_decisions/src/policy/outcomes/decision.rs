use std::sync::Arc;

use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;

use crate::policy::outcomes::placement::Placement;

rattanwinch_types::value! {
    /// What the caller of [`ZonePolicy::decide`](crate::ZonePolicy::decide) carries out.
    pub enum Decision {
        /// Start the gang; its accelerators are already marked as taken.
        Start {
            /// The job.
            key: RequestKey,
            /// Where its tasks run.
            placement: Placement,
            /// Why now and why there.
            reason: Arc<str>,
        },
        /// Take a running gang off its accelerators, and report its end as `JobEnd::Evicted`.
        Evict {
            /// The job.
            key: RequestKey,
            /// `Checkpoint` first; `Stop` when the checkpoint limit has passed.
            mode: StopMode,
            /// For whom or for what.
            reason: Arc<str>,
        },
        /// Finish a queued job without an answer.
        Refuse {
            /// The job.
            key: RequestKey,
            /// Why, and whether it may have run earlier.
            error: RequestError,
        },
    }
}
