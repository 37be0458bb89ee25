//! Numeric ids of jobs and guaranteed blocks.

rattanwinch_types::value! { copy
    /// Id of a job at this decider, in the order of submission.
    pub(crate) struct JobId(pub u64);
}

rattanwinch_types::value! { copy
    /// Id of a guaranteed block. It contains its owner's id, so that a search over many workers
    /// finds an organisation's own blocks without a lookup.
    pub(crate) struct BlockId {
        /// Id of the owner.
        pub owner: u32,
        /// Sequence number of the block.
        pub number: u32,
    }
}
