//! Names and numbers that identify things across processes.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name that is accepted, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A name that is empty, too long, or holds a character that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("must be 1 to 128 characters of A-Z, a-z, 0-9, '.', '_', ':' and '-'")]
pub struct InvalidName;

/// Checks that a name is short and plain enough for keys, paths and logs.
fn check_name(name: &str) -> Result<(), InvalidName> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        return Err(InvalidName);
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the checked name.
            ///
            /// # Errors
            ///
            /// Returns [`InvalidName`] if the name is empty, longer than 128 bytes, or holds
            /// anything but letters, digits, `.`, `_`, `:` and `-`.
            pub fn new(name: &str) -> Result<Self, InvalidName> {
                check_name(name)?;
                Ok(Self(Arc::from(name)))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The caller's name for one request; a repeat of it is the same request.
    RequestKey
}
name_type! {
    /// Name of a failure domain.
    DomainName
}
name_type! {
    /// Name of a rack inside a failure domain.
    RackName
}
name_type! {
    /// Name of an endpoint.
    EndpointName
}
name_type! {
    /// Name of a service that endpoints run.
    ServiceName
}
name_type! {
    /// Name of a team with a quota.
    TeamName
}

/// Number of an entry instance, unique in its cell.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct EntryId(pub u32);

impl fmt::Display for EntryId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One run of an entry instance: a restart has a new nonce.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct EntryIncarnation {
    /// Number of the entry instance.
    pub entry: EntryId,
    /// Random number drawn when the process started.
    pub nonce: u64,
}

impl fmt::Display for EntryIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{:016x}", self.entry, self.nonce)
    }
}

/// Number that grows each time a lease passes to another holder.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Number of a shard of the request keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

/// One task of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Request that the task belongs to.
    pub request: RequestKey,
    /// Position of the task in its request.
    pub index: u32,
}

/// One attempt at a task; no two attempts at a task run at a time.
///
/// It is serialized as the text that it shows, because it goes over the wire often.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct AttemptKey {
    /// Task that is attempted.
    pub task: TaskKey,
    /// Nonce of the entry instance that took a call; 0 for tasks of jobs, whose attempts are
    /// numbered by the one holder of their shard.
    pub origin: u64,
    /// Number of the attempt, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}/{}/{:x}.{}",
            self.task.request, self.task.index, self.origin, self.number
        )
    }
}

impl From<AttemptKey> for String {
    fn from(key: AttemptKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for AttemptKey {
    type Error = InvalidName;

    fn try_from(text: String) -> Result<Self, InvalidName> {
        parse_attempt(&text).ok_or(InvalidName)
    }
}

/// Reads the text that an attempt key shows.
fn parse_attempt(text: &str) -> Option<AttemptKey> {
    let mut parts = text.split('/');
    let request = RequestKey::new(parts.next()?).ok()?;
    let index = parts.next()?.parse().ok()?;
    let (origin, number) = parts.next()?.split_once('.')?;
    Some(AttemptKey {
        task: TaskKey { request, index },
        origin: u64::from_str_radix(origin, 16).ok()?,
        number: number.parse().ok()?,
    })
}
