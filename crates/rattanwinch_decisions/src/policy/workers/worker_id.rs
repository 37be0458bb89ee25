rattanwinch_types::value! { copy
    /// Index of a worker in the pool.
    pub(crate) struct WorkerId(pub u32);
}
