//! Fakes of an endpoint's agent and of the platform's table: pure state machines that stand-ins
//! and tests share.

mod agent;
mod journal;
mod table;

pub use agent::{Agent, AgentFaults, AgentLimits, FakeTime};
pub use journal::{JournalEntry, JournalKind};
pub use table::FakeTable;
