//! The protocol that an endpoint's agent speaks.

mod protocol;

pub use protocol::{
    AgentEvent, AgentOutcome, AttemptUsage, ExchangeAnswer, ExchangeRequest, LeaseAnswer,
    LeaseRequest, ListAnswer, PollAnswer, PollRequest, Refusal, ReleaseRequest, RunningAttempt,
    StaleEpoch, StartOrder, StartResult, StopMode, StopOrder,
};
