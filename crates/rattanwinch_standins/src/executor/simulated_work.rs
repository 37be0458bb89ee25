use std::time::Duration;

rattanwinch_types::value! {
    /// The simulated work that a payload requests with options such as
    /// `work_ms=20 answer_bytes=100 fail`, `checkpoint_ms=500` or `no_checkpoint`.
    ///
    /// Unknown words are ignored, so that any text is a valid payload.
    pub struct SimulatedWork {
        /// The run time of the work.
        pub run_time: Duration,
        /// The minimum size of the answer.
        pub answer_bytes: usize,
        /// Whether the work fails when it completes.
        pub fail: bool,
        /// The duration of a checkpoint; `None` if the work ignores checkpoint requests.
        pub checkpoint: Option<Duration>,
    }
}

impl SimulatedWork {
    /// Parses a payload.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        let mut work = Self {
            run_time: Duration::ZERO,
            answer_bytes: 0,
            fail: false,
            checkpoint: Some(Duration::ZERO),
        };
        for word in payload.split_whitespace() {
            match word.split_once('=') {
                Some(("work_ms", value)) => {
                    work.run_time = Duration::from_millis(value.parse().unwrap_or(0));
                }
                Some(("answer_bytes", value)) => {
                    work.answer_bytes = value.parse().unwrap_or(0);
                }
                Some(("checkpoint_ms", value)) => {
                    work.checkpoint = Some(Duration::from_millis(value.parse().unwrap_or(0)));
                }
                None if word == "fail" => work.fail = true,
                None if word == "no_checkpoint" => work.checkpoint = None,
                _ => {}
            }
        }
        work
    }
}
