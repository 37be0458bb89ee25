//! Numbers of what accelerators are held for: jobs and guaranteed blocks.

rattanwinch_types::value! { copy
    /// Number of a job at this decider, in the order of submission.
    pub(crate) struct JobId(pub u64);
}

rattanwinch_types::value! { copy
    /// Number of a guaranteed block, with the number of its owner, so that a search over many
    /// workers tells an organisation's own blocks without a look-up.
    pub(crate) struct BlockId {
        /// Number of the owner.
        pub owner: u32,
        /// Its place among all blocks.
        pub number: u32,
    }
}
