use rattanwinch_types::ConfigCopy;
use rattanwinch_types::Revision;

rattanwinch_types::value! { wire
    /// The wire form of [`ConfigCopy`].
    pub struct WireConfigCopy {
        /// The revision of the document.
        pub revision: i64,
        /// The id of the store that the document was read from.
        pub cluster: u64,
        /// The document.
        pub document: String,
    }
}

impl From<ConfigCopy> for WireConfigCopy {
    fn from(copy: ConfigCopy) -> Self {
        Self {
            revision: copy.revision.0,
            cluster: copy.cluster,
            document: copy.document.as_ref().to_owned(),
        }
    }
}

impl From<WireConfigCopy> for ConfigCopy {
    fn from(wire: WireConfigCopy) -> Self {
        Self {
            revision: Revision(wire.revision),
            cluster: wire.cluster,
            document: wire.document.into(),
        }
    }
}
