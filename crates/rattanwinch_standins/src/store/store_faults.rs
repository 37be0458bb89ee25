use std::collections::BTreeSet;

rattanwinch_types::value! { wire
    /// Whether the store takes calls.
    #[derive(Copy, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum StoreMode {
        /// It takes calls.
        #[default]
        Up,
        /// It answers each call with the status 503 and applies nothing.
        Refuse,
        /// It doesn't answer; calls that wait when this ends are refused.
        Hang,
    }
}

rattanwinch_types::value! { wire
    /// What the store was told to do wrong.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// Whether it takes calls.
        pub mode: StoreMode,
        /// How long a call waits before it takes effect, in milliseconds. It takes effect also if
        /// the client gives up in the meantime.
        pub delay_ms: u64,
        /// The number of next writes of keys whose answer is cut off after they took effect.
        pub lose_answers: u32,
        /// The names of the clients whose calls get no answer and no effect.
        pub cut_off: BTreeSet<String>,
    }
}

impl StoreFaults {
    /// What a call of the client meets.
    pub(crate) fn mode_for(&self, client: &str) -> StoreMode {
        if self.cut_off.contains(client) {
            StoreMode::Hang
        } else {
            self.mode
        }
    }
}
