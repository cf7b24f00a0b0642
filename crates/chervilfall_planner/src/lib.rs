//! Scheduling logic for one group of endpoints, without I/O.
//!
//! At any time one planner holds a group. It accepts jobs, places their tasks on endpoints and
//! persists its state in rows of the platform's store. It performs no I/O itself: it receives
//! events with the current time and returns actions, so tests can run it in virtual time.

mod account;
mod action;
mod advice;
mod commit;
mod config;
mod election;
mod endpoint;
mod event;
mod gang_wait;
mod ids;
mod job;
mod job_parts;
mod job_progress;
mod leases;
mod limits;
mod metrics;
mod placed_run;
mod planner;
mod policy;
mod progress_part;
mod record;
mod resources;
mod starts;
mod task_list;
mod tasks;

pub use account::{Account, AccountName};
pub use action::{
    Action, AdviceOrder, Answer, HoldOrder, JobState, ReplyTo, StartOrder, StepDownReason,
    StopOrder,
};
pub use commit::{Batch, CommitOutcome, RowChange, RowKey};
pub use config::{AdviceTimings, Configuration, Queue, QueueName, Service, ServiceName};
pub use election::{
    Candidate, CandidateAction, HolderRow, Identity, RenewalOutcome, StallTimeouts, Takeover,
};
pub use endpoint::{DomainName, EndpointEntry, EndpointKey, Exclusion};
pub use event::{
    AdviceAnswer, Asker, EndReason, EndedRun, Event, HoldAnswer, HoldReport, NodeId, Refusal,
    Request, RunningRun, StartAnswer, StopAnswer, Ticket,
};
pub use ids::{
    CallNumber, EndpointId, Fence, InvalidJobId, JobId, Millis, RowVersion, Run, TaskKey,
    UnixMillis,
};
pub use job::{JobSpec, Step, MAX_GANG_TASKS, MAX_STEPS, MAX_TIME_MS};
pub use limits::Limits;
pub use planner::{
    Backlog, LookupResult, PassWork, PassedOver, Planner, ServiceUsage, StandingAdvice,
    StandingStep, StoredGroup,
};
pub use policy::admission::{
    refusal, Forecast, ForecastRefusal, RefusalCause, ServiceRate, Stage, Standing, SubmissionTimes,
};
pub use policy::advice_nodes::NodeHealth;
pub use policy::advice_size::{call_size, CallNeed, GrantShare};
pub use policy::commit_order::{
    CommitOrder, CommitPlan, JobTiming, ProgressKind, WaitingChanges, WaitingProgress,
    WaitingSubmission,
};
pub use policy::departures::{departure_step, DepartureStep, LeaveTime, RunOutlook};
pub use policy::failure_share::is_unsound;
pub use policy::fair_share::{FairShare, ShareLevel, UsageByStart};
pub use policy::gang_call_hold::{may_keep, CallHold, CallHolds};
pub use policy::handover::{HandoverPolicy, HandoverReason, HolderTerm, LinkedNode, LoadReport};
pub use policy::naming::{NamingCandidate, NamingOrder, NamingRank};
pub use policy::node_size::NodeResources;
pub use policy::overdue::{has_worth, Claims};
pub use policy::overload::Overload;
pub use policy::pass_interval::full_pass_interval_ms;
pub use policy::quota_bound::{acceptable_after_ms, Work};
pub use policy::relays::{
    CallPath, DirectCalls, RelayCandidate, RelayChoice, RelayHealth, RelayUse,
};
pub use policy::retry_time::{no_holder_retry_ms, retry_ms, Attempt, RefusalMemory};
pub use policy::store_capacity::{StoreCapacity, StoredCommit};
pub use policy::switches::Policies;
pub use progress_part::{InvalidProgressKey, PartKey, PartRow, ProgressKey};
pub use record::{
    decode_text, JobRow, ProgressRow, RecordError, RosterEntry, StaleLeases, CLAIMS, ENDED, HOLDER,
    JOBS, PROGRESS, ROSTER, TEXTS,
};
pub use resources::Resources;
pub use starts::{StartNote, StartsRow, STARTS};
