//! Rendezvous hashing: every instance that sees the same candidates picks the same one, and the
//! loss of a candidate moves only what it had.

use chervilfall_types::EntryId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the candidate that scores highest for a name.
pub(crate) fn winner(name: &str, candidates: impl Iterator<Item = EntryId>) -> Option<EntryId> {
    candidates.max_by_key(|entry| (score(name, *entry), *entry))
}

fn score(name: &str, entry: EntryId) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(entry.0))
}
