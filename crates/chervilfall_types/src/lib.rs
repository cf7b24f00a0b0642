//! Identifiers, resources, work, verdicts and answers that every part shares.

mod answer;
mod ids;
mod resources;
mod time;
mod work;

pub use answer::{Answer, ExplainEvent, Phase, Reason, TaskCounts, Verdict};
pub use ids::{
    AttemptKey, DomainName, EndpointName, EntryId, EntryIncarnation, Epoch, InvalidName, RackName,
    RequestKey, ServiceName, ShardId, TaskKey, TeamName,
};
pub use resources::Resources;
pub use time::{Instant, RemoteInstant};
pub use work::{Priority, Request, Work, WorkClass};
