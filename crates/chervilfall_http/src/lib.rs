//! Clients over HTTP of what stands around an entry instance: agents and the platform.

mod agent;
mod bytes;
mod membership;
mod objects;
mod service;
mod table;

pub use agent::{AgentClient, AgentError};
pub use membership::MembershipClient;
pub use objects::ObjectClient;
pub use service::PlatformError;
pub use table::TableClient;
