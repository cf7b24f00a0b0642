//! API keys of client accounts. Nodes keep only the digests of keys, never the keys.

use chervilfall_planner::AccountName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// The keys in force and the accounts that they belong to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyRing {
    /// Sorted by digest.
    keys: Vec<(KeyDigest, AccountName)>,
}

impl KeyRing {
    /// Creates a key ring from digests and their accounts.
    #[must_use]
    pub fn new(keys: impl IntoIterator<Item = (KeyDigest, AccountName)>) -> Self {
        let mut keys: Vec<_> = keys.into_iter().collect();
        keys.sort_by_key(|(digest, _)| *digest);
        Self { keys }
    }

    /// Returns the account that a key belongs to. The position at which the search for its digest
    /// ends reveals nothing about other keys; equality is checked in constant time.
    #[must_use]
    pub fn account(&self, digest: KeyDigest) -> Option<&AccountName> {
        let position = self.keys.partition_point(|(known, _)| *known < digest);
        let (known, account) = self.keys.get(position)?;
        bool::from(known.0.ct_eq(&digest.0)).then_some(account)
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there is no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
