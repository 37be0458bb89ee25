use std::time::Duration;

rattanwinch_types::value! {
    /// What a payload asks of the stand-in: words such as `work_ms=20 answer_bytes=100 fail`,
    /// `checkpoint_ms=500` or `no_checkpoint`.
    ///
    /// Words that mean nothing are ignored, so that any text is a payload.
    pub struct WorkOrder {
        /// How long the work takes.
        pub work: Duration,
        /// How much text the answer has at least.
        pub answer_bytes: usize,
        /// Whether the work fails at its end.
        pub fail: bool,
        /// How long a checkpoint takes; `None` if the work ignores the order to make one.
        pub checkpoint: Option<Duration>,
    }
}

impl WorkOrder {
    /// Reads a payload.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        let mut order = Self {
            work: Duration::ZERO,
            answer_bytes: 0,
            fail: false,
            checkpoint: Some(Duration::ZERO),
        };
        for word in payload.split_whitespace() {
            match word.split_once('=') {
                Some(("work_ms", value)) => {
                    order.work = Duration::from_millis(value.parse().unwrap_or(0));
                }
                Some(("answer_bytes", value)) => {
                    order.answer_bytes = value.parse().unwrap_or(0);
                }
                Some(("checkpoint_ms", value)) => {
                    order.checkpoint = Some(Duration::from_millis(value.parse().unwrap_or(0)));
                }
                None if word == "fail" => order.fail = true,
                None if word == "no_checkpoint" => order.checkpoint = None,
                _ => {}
            }
        }
        order
    }
}
