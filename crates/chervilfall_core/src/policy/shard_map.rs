//! Maps request keys to shards.

use chervilfall_types::{Request, RequestKey, ShardId};
use chervilfall_wire::RequestDigest;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the shard of a key.
///
/// # Panics
///
/// Panics if `shards` is zero; settings refuse that.
pub(crate) fn shard_of(key: &RequestKey, shards: u16) -> ShardId {
    let hash = xxh3_64(key.as_str().as_bytes());
    let shard = hash % u64::from(shards);
    ShardId(u16::try_from(shard).unwrap_or(0))
}

/// Returns the digest that tells a repeat of a request from another one under the same key.
///
/// The deadline is left out: a repeat may come with less time left.
pub(crate) fn digest(request: &Request) -> RequestDigest {
    let content = serde_json::to_vec(&(&request.team, &request.work)).unwrap_or_default();
    RequestDigest(xxh3_64(&content))
}
