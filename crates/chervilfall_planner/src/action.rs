//! Actions that a planner requests from its node.

use serde::{Deserialize, Serialize};

use crate::commit::Batch;
use crate::endpoint::EndpointKey;
use crate::event::{NodeId, Ticket};
use crate::ids::{CallNumber, EndpointId, Fence, JobId, Millis, Run, TaskKey};

/// Destination of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyTo {
    /// Node that received the request.
    pub node: NodeId,
    /// Number of the request at that node.
    pub number: u64,
}

/// State of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed permanently.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// Answer to a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job was not stored and will never run.
    Refused {
        /// Time after which the caller should retry.
        retry_ms: Millis,
    },
    /// State of a job.
    State(JobState),
    /// The cancellation is stored.
    Cancelled,
    /// The job was not cancelled.
    NotCancelled {
        /// Time after which the caller should retry.
        retry_ms: Millis,
    },
    /// The job does not exist.
    Unknown,
    /// Number of jobs that have not started.
    Waiting(u64),
    /// The job was not stored because it exceeds the size limit of a row.
    TooLarge,
    /// The job was not stored and will never run: its account exceeds its share.
    OverShare {
        /// Time after which the caller should retry.
        retry_ms: Millis,
    },
    /// Another account has already submitted a job with this identifier.
    NameTaken,
    /// The queue no longer exists, and the job was not accepted.
    NoQueue,
    /// It is not yet known whether the request was carried out; the caller may repeat it.
    Undecided,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Key of the endpoint, which has a meaning only in the planner that made it.
    #[serde(skip)]
    pub endpoint: EndpointKey,
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: Run,
    /// The job's text.
    pub spec: std::sync::Arc<str>,
    /// Lease expiry on the endpoint's clock; the start must not be carried out later than this.
    pub until_ms: Millis,
    /// Fencing token.
    pub fence: Fence,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Ticket, if the queue requires one.
    pub ticket: Option<Ticket>,
}

/// Order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// Key of the endpoint, which has a meaning only in the planner that made it.
    #[serde(skip)]
    pub endpoint: EndpointKey,
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: Run,
    /// Fencing token.
    pub fence: Fence,
}

/// Order to renew the lease of an endpoint's runs and to read its lists of runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldOrder {
    /// Key of the endpoint, which has a meaning only in the planner that made it.
    #[serde(skip)]
    pub endpoint: EndpointKey,
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// Lease expiry on the endpoint's clock; none while that clock is unknown.
    pub until_ms: Option<Millis>,
    /// Fencing token.
    pub fence: Fence,
    /// Ends up to this number are stored, so the endpoint can discard them.
    pub acknowledged: u64,
    /// How long the endpoint may delay its answer while no run ends.
    pub wait_ms: Millis,
    /// How long to wait for the answer.
    pub timeout_ms: Millis,
}

/// Call to the advice service that asks which endpoints may run a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceOrder {
    /// Number of the call.
    pub number: CallNumber,
    /// Name of the step: job, occurrence and index.
    pub step: String,
    /// Endpoints to ask about.
    pub endpoints: Vec<EndpointId>,
    /// Time after sending at which the call counts as failed.
    pub timeout_ms: Millis,
}

/// Why a planner stops holding its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// Another node has claimed the group.
    ClaimLost,
    /// An endpoint has seen a higher fencing token.
    Fenced,
    /// The claim was released on request.
    Released,
}

/// An action that a planner requests from its node.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a caller.
    Reply {
        /// Destination of the answer.
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
    /// Renews an endpoint's leases and reads its lists.
    Hold(HoldOrder),
    /// Calls the advice service.
    Advise {
        /// Node that makes the call.
        node: NodeId,
        /// The call.
        order: AdviceOrder,
    },
    /// Looks up the row of an ended job.
    LookUp(JobId),
    /// Reads the text of an open job.
    ReadText(JobId),
    /// Ends the planner: it must not be given any further events.
    StepDown(StepDownReason),
}
