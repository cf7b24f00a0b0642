//! Attempts as they are placed on and reported by the owners of endpoints.

use chervilfall_types::{
    AttemptKey, EndpointName, EntryIncarnation, Epoch, Priority, Reason, RemoteInstant, Resources,
    ServiceName, ShardId, TeamName, WorkClass,
};
use serde::{Deserialize, Serialize};

/// Who wants to hear how an attempt ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Requester {
    /// The entry instance that took a call; after its restart nobody.
    Entry(EntryIncarnation),
    /// Whoever holds the shard of a job's key.
    Shard {
        /// The shard.
        shard: ShardId,
        /// Epoch under which the attempt was placed.
        epoch: Epoch,
    },
}

/// Everything an owner and an endpoint need to know about an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptSpec {
    /// Key of the attempt.
    pub key: AttemptKey,
    /// Who wants to hear how it ends.
    pub requester: Requester,
    /// Kind of the workload.
    pub class: WorkClass,
    /// Priority among jobs.
    pub priority: Priority,
    /// Team whose share it draws on.
    pub team: TeamName,
    /// Service that a call is for.
    pub service: Option<ServiceName>,
    /// What it holds while it runs.
    pub resources: Resources,
    /// Declared run time, in milliseconds; zero if not declared.
    pub run_ms: u64,
    /// Opaque input.
    pub payload: String,
}

/// Asks an owner to start an attempt before a bound on the owner's own clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The attempt.
    pub spec: AttemptSpec,
    /// Reading of the owner's clock after which the attempt must not start.
    pub start_by: RemoteInstant,
}

/// Asks an owner to start all attempts of a gang together or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GangPlacement {
    /// The attempts.
    pub specs: Vec<AttemptSpec>,
    /// Reading of the owner's clock after which none of them must start.
    pub start_by: RemoteInstant,
}

/// How an attempt ended; in every case it no longer runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// It ran to its end and returned this.
    Ran(String),
    /// It ran and failed with this message.
    Failed(String),
    /// It never started and never will.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// It may have run for a while, and no longer runs.
    MayHaveRun(Reason),
    /// It was stopped on request after it had started.
    Stopped,
}

impl AttemptEnd {
    /// Returns a definite refusal without a time to come back.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self::NotRun {
            reason,
            retry_after_ms: None,
        }
    }
}

/// State of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// It waits at the sender.
    Waiting,
    /// It runs on this endpoint, whose lease the sender holds.
    Running {
        /// The endpoint.
        endpoint: EndpointName,
        /// Epoch of the sender's lease; a state under an older one is out of date.
        epoch: Epoch,
    },
    /// It was sent to this endpoint, which the sender has lost; whoever owns the endpoint next
    /// reports it if it runs.
    Astray(EndpointName),
    /// It ended.
    Ended {
        /// How.
        end: AttemptEnd,
        /// Where, if it was sent to an endpoint.
        endpoint: Option<EndpointName>,
        /// How long its owner saw it run, in milliseconds.
        ran_ms: u64,
    },
}
