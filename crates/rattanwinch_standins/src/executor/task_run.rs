use std::time::Instant;

use rattanwinch_types::MemberKey;

rattanwinch_types::value! {
    /// One run of a gang task, kept after the task is deleted.
    pub struct TaskRun {
        /// The member that ran.
        pub member: MemberKey,
        /// When the task was started.
        pub started_at: Instant,
        /// When the task ended, for any reason; `None` while it runs.
        pub ended_at: Option<Instant>,
    }
}
