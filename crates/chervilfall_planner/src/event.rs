//! Events that a planner receives, and the requests and answers that they carry.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::account::AccountName;
use crate::action::ReplyTo;
use crate::commit::CommitOutcome;
use crate::config::{Configuration, Queue, QueueName};
use crate::endpoint::{DomainName, EndpointEntry, EndpointKey};
use crate::ids::{CallNumber, EndpointId, JobId, Millis, Run, TaskKey, UnixMillis};
use crate::job::JobSpec;
use crate::planner::LookupResult;
use crate::record::ProgressRow;
use crate::starts::StartNote;

/// Number of a linked node; 0 is the planner's own node.
pub type NodeId = u32;

/// Opaque ticket that permits starting a step on an endpoint.
pub type Ticket = String;

/// Identity of a caller that asks about a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asker {
    /// Client account; none if the call requires no API key.
    pub account: Option<AccountName>,
    /// Queue named in the call.
    pub queue: QueueName,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Submits a job.
    Submit {
        /// Queue of the job, with the settings known to the node that received the request.
        queue: Queue,
        /// Identifier of the job.
        id: JobId,
        /// What to run.
        spec: JobSpec,
        /// How long the submission may wait for the store before it is refused.
        wait_ms: Millis,
        /// Client account that submits it; none if none is required.
        #[serde(default)]
        account: Option<AccountName>,
    },
    /// Asks for a job's state.
    State {
        /// The job.
        id: JobId,
        /// The caller.
        #[serde(default)]
        asker: Asker,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        id: JobId,
        /// The caller.
        #[serde(default)]
        asker: Asker,
    },
    /// Asks for the number of jobs of a queue that have not started.
    Waiting {
        /// The queue.
        queue: QueueName,
    },
}

impl Request {
    /// Returns the job named in the request.
    pub(crate) const fn job(&self) -> Option<JobId> {
        match self {
            Self::Submit { id, .. } | Self::State { id, .. } | Self::Cancel { id, .. } => Some(*id),
            Self::Waiting { .. } => None,
        }
    }
}

/// Why an endpoint refused an order without carrying it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fence,
    /// A run of the task with the same or a higher number has been stopped or has ended there.
    Old,
    /// The order arrived after its deadline.
    Late,
    /// Its capacity is exhausted.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// It is unhealthy or overloaded, or the order was not sent to it.
    Unhealthy,
    /// It considers the order malformed.
    Malformed,
}

/// Answer to a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// The run is on the endpoint.
    Accepted,
    /// The run was not started.
    Refused(Refusal),
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// No answer: the run may have been started, or may still be started later.
    Unanswered,
}

/// Answer to a stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopAnswer {
    /// The run is being stopped, or will never start there.
    Accepted,
    /// The endpoint has seen a higher fencing token.
    Fenced,
    /// The endpoint could not accept the order.
    Refused,
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// No answer.
    Unanswered,
}

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// It completed.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang were never started.
    Alone,
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: Run,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A run that has ended and whose end is not yet acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of the end in this incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: Run,
    /// Why it ended.
    pub how: EndReason,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Runs in progress on an endpoint, and ends that are not yet acknowledged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReport {
    /// When the answering incarnation started, by its own wall clock; none if endpoints do not
    /// report it.
    pub born_ms: Option<UnixMillis>,
    /// The endpoint's clock when it answered.
    pub clock_ms: Millis,
    /// Runs in progress, including those that are being stopped.
    pub running: Vec<RunningRun>,
    /// Ends that are not acknowledged, up to the first that could not be read: at most as many as
    /// fit into a list.
    pub ended: Vec<EndedRun>,
    /// Rows of the lists could not be read: a run that is not listed may be running or may have
    /// ended.
    pub partial: bool,
}

/// Answer to a hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldAnswer {
    /// The lists.
    Report(HoldReport),
    /// The endpoint has seen a higher fencing token.
    Fenced,
    /// The endpoint could not accept the call.
    Refused,
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// No answer.
    Unanswered,
}

/// Answer to a call for advice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdviceAnswer {
    /// Endpoints that may run the step, with their tickets.
    Granted(Vec<(EndpointId, Ticket)>),
    /// No answer, or a refusal.
    Failed,
}

/// An event that a planner receives.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller's request.
    Request {
        /// Destination of the answer.
        to: ReplyTo,
        /// The request.
        request: Request,
    },
    /// The set of nodes that can call the advice service has changed.
    Nodes(Vec<NodeId>),
    /// A configuration is now in force.
    Configured(Arc<Configuration>),
    /// The list of endpoints was read.
    Endpoints {
        /// When the reading was requested.
        read_ms: Millis,
        /// The list.
        entries: Vec<EndpointEntry>,
        /// Failure domains that are evacuated.
        evacuated: BTreeSet<DomainName>,
    },
    /// A commit was answered.
    Committed {
        /// Its number.
        number: u64,
        /// Index of the copy that was answered.
        copy: usize,
        /// Outcome.
        outcome: CommitOutcome,
    },
    /// A start was answered.
    Started {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: Run,
        /// Answer.
        answer: StartAnswer,
    },
    /// A stop was answered.
    Stopped {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: Run,
        /// Answer.
        answer: StopAnswer,
    },
    /// A hold was answered.
    Held {
        /// The endpoint.
        endpoint: EndpointKey,
        /// When it was sent.
        sent_ms: Millis,
        /// Answer.
        answer: HoldAnswer,
    },
    /// A hold was answered after it had counted as unanswered.
    ListedLate {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Lists of the endpoint.
        report: HoldReport,
    },
    /// A call for advice was answered.
    Advised {
        /// Number of the call.
        number: CallNumber,
        /// Answer.
        answer: AdviceAnswer,
    },
    /// An earlier holder reports the runs that it has started without storing a record of them.
    UnstoredStarts(Vec<StartNote>),
    /// Texts of inherited jobs were read.
    Texts(Vec<(JobId, Arc<str>)>),
    /// The text of a job that is about to start was read.
    TextRead {
        /// The job.
        id: JobId,
        /// The text; none if the store did not answer.
        text: Option<Arc<str>>,
    },
    /// The texts of all inherited jobs were read.
    TextsRead,
    /// Rows of ended jobs were read.
    Ended(Vec<(JobId, ProgressRow)>),
    /// All rows of ended jobs were read.
    HistoryRead,
    /// The row of an ended job was looked up.
    LookedUp {
        /// The job.
        id: JobId,
        /// Result.
        look: LookupResult,
    },
    /// Time has passed.
    Tick {
        /// Wall-clock time, in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
}
