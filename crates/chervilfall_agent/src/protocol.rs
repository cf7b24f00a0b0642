//! Requests and answers of an endpoint's agent.

use chervilfall_types::{AttemptKey, Epoch, RemoteInstant, Resources};
use serde::{Deserialize, Serialize};

/// Asks for the control lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Incarnation of the entry instance that asks, as text.
    pub holder: String,
    /// Length of the lease, in milliseconds.
    pub lease_ms: u64,
}

/// Answer to a request for the control lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Whether the lease was granted.
    pub granted: bool,
    /// Epoch of the lease in force: the asker's if it was granted.
    pub epoch: Epoch,
    /// How long the lease in force still runs, in milliseconds.
    pub remaining_ms: u64,
    /// The agent's clock.
    pub clock: RemoteInstant,
}

/// Orders the start of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt; a repeat of it is the same order.
    pub attempt: AttemptKey,
    /// Reading of the agent's clock after which the start must be refused.
    pub start_by: RemoteInstant,
    /// What the attempt holds while it runs.
    pub resources: Resources,
    /// Declared run time, in milliseconds; zero if not declared.
    pub run_ms: u64,
    /// Whether it runs until it is stopped.
    pub endless: bool,
    /// Opaque input.
    pub payload: String,
    /// Opaque note of the owner, given back in lists.
    pub note: String,
}

/// How an attempt is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// End it.
    Stop,
    /// Save its state and end it.
    Checkpoint,
    /// Let it run at reduced speed.
    Throttle,
}

/// Orders the stop of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The attempt.
    pub attempt: AttemptKey,
    /// How.
    pub mode: StopMode,
}

/// Renews the lease and gives orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Epoch of the asker's lease.
    pub epoch: Epoch,
    /// Attempts to start.
    pub starts: Vec<StartOrder>,
    /// Attempts to stop.
    pub stops: Vec<StopOrder>,
    /// Ended attempts that the agent may forget.
    pub forget: Vec<AttemptKey>,
    /// Replaces the endpoint's opaque fence note, which outlives the lease.
    pub fence: Option<String>,
}

/// Why a start was refused; the attempt did not start and never will by this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The order came after its bound.
    Late,
    /// The resources are not free.
    NoRoom,
    /// The endpoint takes no new work.
    Leaving,
}

/// What became of a start order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartResult {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Why it was refused; absent if it was started, now or by an earlier copy of the order.
    pub refusal: Option<Refusal>,
}

/// Answer to an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeAnswer {
    /// The agent's clock.
    pub clock: RemoteInstant,
    /// What became of each start order.
    pub starts: Vec<StartResult>,
}

/// Renews the lease and waits for attempts that end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Epoch of the asker's lease.
    pub epoch: Epoch,
    /// Length of the renewed lease, in milliseconds.
    pub lease_ms: u64,
    /// Reading of the agent's clock after which the lease must not be renewed by this request.
    pub renew_by: RemoteInstant,
    /// Number of the last event that the asker has seen.
    pub after: u64,
    /// How long to wait for an event, in milliseconds.
    pub wait_ms: u64,
}

/// How an attempt ended on the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentOutcome {
    /// It ran to its end and returned this.
    Ran(String),
    /// It failed with this message.
    Failed(String),
    /// It was stopped.
    Stopped,
    /// It was stopped after its state had been saved.
    Checkpointed,
}

/// An attempt that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentEvent {
    /// Number of the event; grows by one.
    pub number: u64,
    /// The attempt.
    pub attempt: AttemptKey,
    /// How it ended.
    pub outcome: AgentOutcome,
    /// The owner's note from the start order; only in lists, since a poll's asker knows it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
}

/// What an attempt used some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptUsage {
    /// The attempt.
    pub attempt: AttemptKey,
    /// What it used.
    pub used: Resources,
}

/// Answer to a poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollAnswer {
    /// The agent's clock.
    pub clock: RemoteInstant,
    /// Events after the asked number, in order.
    pub events: Vec<AgentEvent>,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Lagged usage of attempts.
    pub usage: Vec<AttemptUsage>,
}

/// An attempt that runs on the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// What it holds.
    pub resources: Resources,
    /// The owner's note from the start order.
    pub note: String,
}

/// Everything that runs on the endpoint or has ended and is not forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAnswer {
    /// The agent's clock.
    pub clock: RemoteInstant,
    /// Capacity of the endpoint.
    pub capacity: Resources,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Attempts that run.
    pub running: Vec<RunningAttempt>,
    /// Attempts that ended.
    pub ended: Vec<AgentEvent>,
    /// Number of the last event.
    pub last_event: u64,
    /// The endpoint's opaque fence note; empty until one is set.
    pub fence: String,
}

/// Gives the lease back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Epoch of the asker's lease.
    pub epoch: Epoch,
}

/// The asker's epoch is not the one in force, or its lease has lapsed; nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaleEpoch {
    /// The epoch in force.
    pub epoch: Epoch,
}
