use std::time::Instant;

use rattanwinch_types::MemberKey;

rattanwinch_types::value! {
    /// One run of a gang task, kept also after the task was forgotten.
    pub struct TaskRun {
        /// The member that ran.
        pub member: MemberKey,
        /// When it was told to run.
        pub started_at: Instant,
        /// When it ended, for whatever reason; `None` while it runs.
        pub ended_at: Option<Instant>,
    }
}
