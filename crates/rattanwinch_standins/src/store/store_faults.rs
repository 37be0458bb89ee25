use std::collections::BTreeSet;

rattanwinch_types::value! { wire
    /// How the store responds to calls.
    #[derive(Copy, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum StoreMode {
        /// Serves calls.
        #[default]
        Up,
        /// Rejects each call with status 503 and applies nothing.
        Refuse,
        /// Does not respond; calls that are pending when the mode changes are rejected.
        Hang,
    }
}

rattanwinch_types::value! { wire
    /// The faults to inject.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// How the store responds to calls.
        pub mode: StoreMode,
        /// The delay before a call is applied, in milliseconds. The call is applied even if the
        /// client gives up in the meantime.
        pub delay_ms: u64,
        /// The number of subsequent key writes whose response is lost after they are applied.
        pub lose_answers: u32,
        /// The names of clients whose calls are neither applied nor answered.
        pub cut_off: BTreeSet<String>,
    }
}

impl StoreFaults {
    /// Returns the mode that applies to a client.
    pub(crate) fn mode_for(&self, client: &str) -> StoreMode {
        if self.cut_off.contains(client) {
            StoreMode::Hang
        } else {
            self.mode
        }
    }
}
