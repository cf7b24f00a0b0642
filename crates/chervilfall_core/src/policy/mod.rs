//! Policies, one a file.

pub(crate) mod backoff;
pub(crate) mod placement;
pub(crate) mod quarantine;
pub(crate) mod queue_order;
pub(crate) mod rendezvous;
pub(crate) mod retry_budget;
pub(crate) mod route;
pub(crate) mod shard_map;
pub(crate) mod write_budget;
