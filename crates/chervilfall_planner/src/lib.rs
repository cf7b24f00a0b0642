//! Pure decision core of one group of endpoints.
//!
//! One planner at a time holds a group. It accepts jobs, places their tasks on endpoints and keeps
//! what must last in rows of the platform's store. It does no I/O: each event and the time go in,
//! actions come out, so that tests drive it in virtual time.

mod account;
mod action;
mod advice;
mod commit;
mod config;
mod election;
mod endpoint;
mod event;
mod ids;
mod job;
mod leases;
mod limits;
mod meters;
mod placed;
mod planner;
mod policy;
mod record;
mod room;
mod starts;
mod tasks;

pub use account::{Account, AccountName};
pub use action::{
    Action, AdviceOrder, Answer, HoldOrder, JobState, ReplyTo, StartOrder, StepDownReason,
    StopOrder,
};
pub use commit::{Batch, CommitOutcome, RowChange, RowKey};
pub use config::{AdviceTerms, Configuration, Queue, QueueName, Service, ServiceName};
pub use election::{Candidate, CandidateMove, HolderRow, Identity, Stall, Takeover};
pub use endpoint::{EndpointEntry, EndpointKey};
pub use event::{
    AdviceAnswer, Asker, EndedRun, Event, HoldAnswer, HoldReport, How, NodeId, Refusal, Request,
    RunningRun, StartAnswer, StopAnswer, Ticket,
};
pub use ids::{
    EndpointId, Fence, InvalidJobId, JobId, Millis, RowVersion, Run, TaskKey, UnixMillis,
};
pub use job::{JobSpec, Step};
pub use limits::Limits;
pub use planner::{Backlog, Look, Planner, Stored};
pub use policy::switches::Policies;
pub use record::{
    decode_text, JobRow, ProgressRow, RecordError, RosterEntry, CLAIMS, ENDED, HOLDER, JOBS,
    PROGRESS, ROSTER, TEXTS,
};
pub use room::Room;
pub use starts::{StartNote, StartsRow, STARTS};
