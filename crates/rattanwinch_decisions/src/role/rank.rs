use rattanwinch_types::EntryName;
use rattanwinch_types::ZoneName;
use sha2::Digest as _;
use sha2::Sha256;

/// Ranks entries for a zone by rendezvous hashing, best first.
///
/// Every entry computes the same order from the same names, and the zones of a lost entry are
/// spread over the others.
#[must_use]
pub fn rank_entries(zone: &ZoneName, mut entries: Vec<EntryName>) -> Vec<EntryName> {
    entries.sort_by_cached_key(|entry| {
        let mut hasher = Sha256::new();
        hasher.update(zone.as_str());
        // Names have no slash, so different pairs never give the same text.
        hasher.update("/");
        hasher.update(entry.as_str());
        (<[u8; 32]>::from(hasher.finalize()), entry.clone())
    });
    entries.dedup();
    entries
}
