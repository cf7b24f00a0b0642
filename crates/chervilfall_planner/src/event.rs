//! What a planner is told.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::account::AccountName;
use crate::action::ReplyTo;
use crate::commit::CommitOutcome;
use crate::config::{Configuration, Queue, QueueName};
use crate::endpoint::{EndpointEntry, EndpointKey};
use crate::ids::{EndpointId, JobId, Millis, Run, TaskKey, UnixMillis};
use crate::job::JobSpec;
use crate::planner::LookupResult;
use crate::record::ProgressRow;
use crate::starts::StartNote;

/// Number of a linked node; 0 is the planner's own.
pub type NodeId = u32;

/// Opaque permission to start a step on an endpoint.
pub type Ticket = String;

/// Who asks about a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asker {
    /// Client account; none if the call needs no key.
    pub account: Option<AccountName>,
    /// Queue that the call names.
    pub queue: QueueName,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Hands a job in.
    Submit {
        /// Queue that it is for, as the node that took it knows the queue.
        queue: Queue,
        /// Its name.
        id: JobId,
        /// What to run.
        spec: JobSpec,
        /// How long the submission may wait for the store before it is refused.
        wait_ms: Millis,
        /// Client account that hands it in; none if none is needed.
        #[serde(default)]
        account: Option<AccountName>,
    },
    /// Asks for a job's state.
    State {
        /// The job.
        id: JobId,
        /// Who asks.
        #[serde(default)]
        asker: Asker,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        id: JobId,
        /// Who asks.
        #[serde(default)]
        asker: Asker,
    },
    /// Asks how many jobs of a queue have not started.
    Waiting {
        /// The queue.
        queue: QueueName,
    },
}

impl Request {
    /// Returns the job that it names.
    pub(crate) const fn job(&self) -> Option<JobId> {
        match self {
            Self::Submit { id, .. } | Self::State { id, .. } | Self::Cancel { id, .. } => Some(*id),
            Self::Waiting { .. } => None,
        }
    }
}

/// Why an endpoint refused an order that it has not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fence,
    /// A run as high was stopped or ended there.
    Old,
    /// The order came after its bound.
    Late,
    /// Its capacity is used.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// It is unhealthy or overloaded.
    Unhealthy,
    /// It finds the order malformed.
    Malformed,
}

/// Answer to a start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Accepted,
    /// It has not been started.
    Refused(Refusal),
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// No answer: it may have been started, or may be later.
    Unanswered,
}

/// Answer to a stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run is being stopped, or never starts there.
    Accepted,
    /// A higher fencing token is known there.
    Fenced,
    /// The endpoint could not take the order.
    Refused,
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// No answer.
    Unanswered,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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
    /// The other members of its gang never came.
    Alone,
}

/// A run at work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: Run,
    /// Newest checkpoint, empty for none.
    pub checkpoint: String,
}

/// A run that ended and was not yet acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end in this incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: Run,
    /// How it ended.
    pub how: EndReason,
    /// Newest checkpoint, empty for none.
    pub checkpoint: String,
}

/// What runs on an endpoint and what ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldReport {
    /// When the incarnation that answers was started, by its own clock of the day; none where endpoints do not say.
    pub born_ms: Option<UnixMillis>,
    /// The endpoint's clock when it answered.
    pub clock_ms: Millis,
    /// Runs at work, those that are being stopped too.
    pub running: Vec<RunningRun>,
    /// Ends that were not acknowledged, up to the first that could not be read.
    pub ended: Vec<EndedRun>,
    /// Rows of the lists could not be read: what is not listed may be there, or may have ended.
    pub partial: bool,
}

/// Answer to a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldAnswer {
    /// The lists.
    Report(HoldReport),
    /// A higher fencing token is known there.
    Fenced,
    /// The endpoint could not take the call.
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

/// What a planner is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller asks.
    Request {
        /// Where the answer goes.
        to: ReplyTo,
        /// What is asked.
        request: Request,
    },
    /// The nodes that can call for advice have changed.
    Nodes(Vec<NodeId>),
    /// A configuration is in force.
    Configured(Arc<Configuration>),
    /// The list of endpoints was read.
    Endpoints {
        /// When the reading was asked for.
        read_ms: Millis,
        /// The list.
        entries: Vec<EndpointEntry>,
    },
    /// A commit was answered.
    Committed {
        /// Its number.
        number: u64,
        /// Which copy was answered.
        copy: usize,
        /// What came of it.
        outcome: CommitOutcome,
    },
    /// A start was answered.
    Started {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The task.
        task: TaskKey,
        /// The start.
        run: Run,
        /// What came of it.
        answer: StartAnswer,
    },
    /// A stop was answered.
    Stopped {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The task.
        task: TaskKey,
        /// The start.
        run: Run,
        /// What came of it.
        answer: StopAnswer,
    },
    /// A hold was answered.
    Held {
        /// The endpoint.
        endpoint: EndpointKey,
        /// When it was sent.
        sent_ms: Millis,
        /// What came of it.
        answer: HoldAnswer,
    },
    /// A call for advice was answered.
    Advised {
        /// Number of the call.
        number: u64,
        /// What came of it.
        answer: AdviceAnswer,
    },
    /// A node that held the group before tells what it has started and could not store.
    UnstoredStarts(Vec<StartNote>),
    /// Texts of inherited jobs were read.
    Texts(Vec<(JobId, Arc<str>)>),
    /// The text of a job was read whose turn has come.
    TextRead {
        /// The job.
        id: JobId,
        /// The text; none if the store has not answered.
        text: Option<Arc<str>>,
    },
    /// All texts were read.
    TextsRead,
    /// Rows of jobs that have ended were read.
    Ended(Vec<(JobId, ProgressRow)>),
    /// All rows of jobs that have ended were read.
    HistoryRead,
    /// The row of an ended job was looked for.
    LookedUp {
        /// The job.
        id: JobId,
        /// What was found.
        look: LookupResult,
    },
    /// Time has passed.
    Tick {
        /// Time of day, in milliseconds since 1970.
        unix_ms: u64,
    },
}
