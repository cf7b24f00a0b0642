//! Names and numbers.

use serde::{Deserialize, Serialize};

/// Milliseconds on a steady clock; whose clock, the field that holds it says.
pub type Millis = u64;

/// Time of day, in milliseconds since 1970. It may step back.
pub type UnixMillis = u64;

/// Version of a row in the store; it grows with every transaction.
pub type RowVersion = u64;

/// Fencing token: the version of the transaction that claimed the group.
pub type Fence = u64;

/// Number of a start of a task; it grows with every start of that task.
pub type Run = u64;

/// Name of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A text that is no job's name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "a job's name has 16 lower-case hexadecimal digits, this has {0} bytes or other characters"
)]
pub struct InvalidJobId(usize);

/// Digits of a job's name.
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

/// Names one task: a member of a step in one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of a repeated job, 0 for others.
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u16,
    /// Position of the task in the step.
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

/// Name of an endpoint. It may start again under the same name; [`HoldReport::born_ms`](crate::HoldReport::born_ms)
/// tells the incarnations apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub String);

impl std::fmt::Display for EndpointId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}
