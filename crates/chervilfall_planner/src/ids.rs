//! Identifiers, times and version numbers.

use serde::{Deserialize, Serialize};

/// Milliseconds on a monotonic clock. Each field that holds one documents whose clock it is.
pub type Millis = u64;

/// Wall-clock time in milliseconds since the Unix epoch. It may step back.
pub type UnixMillis = u64;

/// Version of a row in the store. It increases with every transaction.
pub type RowVersion = u64;

/// Fencing token: the version of the transaction that claimed the group.
pub type Fence = u64;

/// Number of a run of a task. It increases with every start of that task.
pub type Run = u64;

/// Number of a call for advice. No other call of this group has it, in whichever term: the term is in
/// its upper half, and calls are counted in the lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallNumber(u64);

impl CallNumber {
    /// Bits in which the calls of a term are counted.
    const COUNT_BITS: u32 = 32;

    /// Returns the number before that of a term's first call.
    #[must_use]
    pub const fn before_term(term: u64) -> Self {
        Self(term << Self::COUNT_BITS)
    }

    /// Returns the number of the next call.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for CallNumber {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let count = self.0 & ((1 << Self::COUNT_BITS) - 1);
        write!(formatter, "{}.{count}", self.0 >> Self::COUNT_BITS)
    }
}

/// Odd multiplier of a multiplicative hash: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Identifier of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl JobId {
    /// Returns a hash that is the same at all nodes. Its high bits are evenly spread, also those of
    /// consecutive identifiers.
    pub(crate) const fn spread_hash(self) -> u64 {
        self.0.wrapping_mul(HASH_MULTIPLIER)
    }
}

/// Error for a text that is not a valid job identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "a job's name has 16 lower-case hexadecimal digits, this has {0} bytes or other characters"
)]
pub struct InvalidJobId(usize);

/// Number of hexadecimal digits in a job identifier.
const JOB_ID_DIGITS: usize = 16;

impl std::str::FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if !digits || text.len() != JOB_ID_DIGITS {
            return Err(InvalidJobId(text.len()));
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| InvalidJobId(text.len()))
    }
}

impl std::fmt::Display for JobId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Identifies a task of a step in one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of a repeated job; 0 for other jobs.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u16,
    /// Index of the task in the step.
    pub index: u32,
}

impl std::fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

/// Name of an endpoint. An endpoint may restart under the same name;
/// [`HoldReport::born_ms`](crate::HoldReport::born_ms) distinguishes its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub String);

impl std::fmt::Display for EndpointId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}
