use rattanwinch_platform::KeyValue;
use rattanwinch_platform::Result;
use rattanwinch_platform::Snapshot;
use rattanwinch_platform::SnapshotPart;
use rattanwinch_platform::SnapshotRange;
use rattanwinch_platform::Store;
use rattanwinch_platform::StoreError;
use rattanwinch_platform::keys;
use rattanwinch_types::Revision;

/// The configuration, the deciders and the entries, all read at one revision of the store.
pub(crate) struct ControlRead {
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// Identifies the store's data; a different id means a different store, for example a restored
    /// one.
    pub cluster: u64,
    /// The configuration document, if it is newer than the known one.
    pub config: Option<KeyValue>,
    /// Whether there is a configuration document at all.
    pub has_config: bool,
    /// The decider keys of all zones.
    pub deciders: Vec<KeyValue>,
    /// The registrations of all entries.
    pub entries: Vec<KeyValue>,
}

impl ControlRead {
    /// Reads in one call the configuration, if it is newer than `known`, and all deciders and
    /// entries.
    pub(crate) async fn read(store: &impl Store, known: Revision) -> Result<Self> {
        let ranges = [
            SnapshotRange::KeyIfModifiedAfter {
                key: keys::config(),
                known,
            },
            SnapshotRange::Prefix(keys::deciders_prefix()),
            SnapshotRange::Prefix(keys::entries_prefix()),
        ];
        store.read_snapshot(&ranges).await?.try_into()
    }
}

impl TryFrom<Snapshot> for ControlRead {
    type Error = StoreError;

    fn try_from(snapshot: Snapshot) -> Result<Self> {
        let parts = <[SnapshotPart; 3]>::try_from(snapshot.parts);
        // A read writes nothing, so it certainly was not applied.
        let [config, deciders, entries] = parts.map_err(|parts| {
            StoreError::not_applied(format!(
                "snapshot read returned {} parts: expected 3",
                parts.len()
            ))
        })?;
        Ok(Self {
            revision: snapshot.revision,
            cluster: snapshot.cluster,
            has_config: config.count > 0,
            config: config.items.into_iter().next(),
            deciders: deciders.items,
            entries: entries.items,
        })
    }
}
