//! Records of a shard's log.

use std::collections::BTreeMap;

use chervilfall_types::{Answer, DomainName, EntryIncarnation, Epoch, Request, RequestKey};
use chervilfall_wire::RequestDigest;
use serde::{Deserialize, Serialize};

/// Final outcome of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TaskOutcome {
    /// It ran and returned this.
    Ran(String),
    /// It ran and failed with this message, and is not tried again.
    Failed(String),
    /// It did not run and is not tried again.
    NotRun,
    /// It may have run, and is not tried again.
    MayHaveRun,
}

/// One fact that must outlast every entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// The key of a non-idempotent call was claimed.
    Claimed {
        key: RequestKey,
        digest: RequestDigest,
        by: EntryIncarnation,
    },
    /// The call did not run, and its key is free again.
    Released { key: RequestKey },
    /// The outcome of a claimed call.
    Outcome(Answer),
    /// A job was accepted.
    Accepted {
        request: Request,
        digest: RequestDigest,
        domain: DomainName,
    },
    /// Tasks of a non-idempotent job are about to be placed for the first time.
    Dispatched { key: RequestKey, tasks: Vec<u32> },
    /// The outcome of a task is final.
    TaskEnded {
        key: RequestKey,
        task: u32,
        outcome: TaskOutcome,
    },
    /// A gang is started anew; ends of its tasks before this do not count.
    GangReset { key: RequestKey },
    /// A job was cancelled, which ended the tasks that waited.
    Cancelled {
        key: RequestKey,
        #[serde(default)]
        ended: BTreeMap<u32, TaskOutcome>,
    },
}

impl Record {
    /// Returns the key of the accepted job that the record is about, if it is about one.
    pub(crate) const fn job_key(&self) -> Option<&RequestKey> {
        match self {
            Self::Dispatched { key, .. }
            | Self::TaskEnded { key, .. }
            | Self::GangReset { key }
            | Self::Cancelled { key, .. } => Some(key),
            Self::Claimed { .. }
            | Self::Released { .. }
            | Self::Outcome(_)
            | Self::Accepted { .. } => None,
        }
    }
}

/// One row of a shard's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogRow {
    /// The writer, for telling an own write of unknown outcome from another's.
    pub(crate) writer: EntryIncarnation,
    /// Epoch of the writer.
    pub(crate) epoch: Epoch,
    /// Number of the commit, unique for the writer.
    pub(crate) commit: u64,
    /// Number of the row in its shard's log, from 1; the log is a ring, so its key says less.
    pub(crate) number: u64,
    /// The records.
    pub(crate) records: Vec<Record>,
}

/// The row of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct ShardRow {
    /// The holder, if there is one.
    pub(crate) holder: Option<EntryIncarnation>,
    /// Grows with each holder.
    pub(crate) epoch: Epoch,
}

/// The row of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryRow {
    /// The present run of the instance.
    pub(crate) incarnation: EntryIncarnation,
    /// Grows with each renewal.
    pub(crate) beat: u64,
    /// Whether it may hold shards.
    pub(crate) eligible: bool,
}
