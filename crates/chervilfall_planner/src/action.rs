//! What a planner wants done.

use serde::{Deserialize, Serialize};

use crate::commit::Batch;
use crate::endpoint::EndpointKey;
use crate::event::{NodeId, Ticket};
use crate::ids::{EndpointId, Fence, JobId, Millis, Run, TaskKey};

/// Where an answer goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyTo {
    /// Node that took the request.
    pub node: NodeId,
    /// Number of the request at that node.
    pub number: u64,
}

/// State of a job, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed for good.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// Answer to a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job was not stored and never runs.
    Refused {
        /// When to come back.
        retry_ms: Millis,
    },
    /// State of a job.
    State(JobState),
    /// The cancel is stored.
    Cancelled,
    /// The cancel was not carried out.
    NotCancelled {
        /// When to come back.
        retry_ms: Millis,
    },
    /// No such job.
    Unknown,
    /// Jobs that have not started.
    Waiting(u64),
    /// The job could not be stored, because a row cannot hold it.
    TooLarge,
    /// The job was not stored and never runs: its account hands in more than its share.
    OverShare {
        /// When to come back.
        retry_ms: Millis,
    },
    /// Another account has handed a job of this name in.
    NameTaken,
    /// There is no such queue any more, and the job was not taken.
    NoQueue,
    /// Nobody knows yet whether the request was carried out; the same request may be sent again.
    Undecided,
}

/// Starts a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Incarnation that is meant.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: Run,
    /// The job's text.
    pub spec: std::sync::Arc<str>,
    /// Lease on the endpoint's clock; also bounds how late the start may be carried out.
    pub until_ms: Millis,
    /// Fencing token.
    pub fence: Fence,
    /// Checkpoint to resume from, empty for none.
    pub checkpoint: String,
    /// Permission, if the queue needs one.
    pub ticket: Option<Ticket>,
}

/// Stops a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Incarnation that is meant.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: Run,
    /// Fencing token.
    pub fence: Fence,
}

/// Extends the lease of an endpoint's runs and reads its lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldOrder {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Incarnation that is meant.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// Lease on the endpoint's clock; none while that clock is not known.
    pub until_ms: Option<Millis>,
    /// Fencing token.
    pub fence: Fence,
    /// Ends up to this number are stored and can be forgotten.
    pub acknowledged: u64,
    /// How long the answer may wait for an end.
    pub wait_ms: Millis,
    /// How long the answer is awaited.
    pub timeout_ms: Millis,
}

/// Asks which endpoints may run a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceOrder {
    /// Number of the call.
    pub number: u64,
    /// Name of the step: job, occurrence and position.
    pub step: String,
    /// Endpoints that are asked about.
    pub endpoints: Vec<EndpointId>,
    /// When the call counts as lost, from its sending.
    pub timeout_ms: Millis,
}

/// Why a planner gives its group up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// Another node has claimed the group.
    ClaimLost,
    /// An endpoint has seen a higher fencing token.
    Fenced,
    /// The claim was handed back, as asked.
    Released,
}

/// What a planner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a caller.
    Reply {
        /// Where the answer goes.
        to: ReplyTo,
        /// The answer.
        answer: Answer,
    },
    /// Writes rows.
    Commit(Batch),
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(StopOrder),
    /// Holds an endpoint.
    Hold(HoldOrder),
    /// Calls for advice.
    Advise {
        /// Node that makes the call.
        node: NodeId,
        /// The call.
        order: AdviceOrder,
    },
    /// Looks for the row of an ended job.
    LookUp(JobId),
    /// Reads the text of an open job.
    ReadText(JobId),
    /// Ends the planner: it must not be fed any more.
    StepDown(StepDownReason),
}
