//! Scheduling policies, one per file.

pub(crate) mod admission;
pub(crate) mod advice_nodes;
pub(crate) mod advice_size;
pub(crate) mod commit_order;
pub(crate) mod crashes;
pub(crate) mod departures;
pub(crate) mod estimates;
pub(crate) mod failure_share;
pub(crate) mod fair_share;
pub(crate) mod gang_call_hold;
pub(crate) mod handover;
pub(crate) mod headroom;
pub(crate) mod naming;
pub(crate) mod node_size;
pub(crate) mod order;
pub(crate) mod overdue;
pub(crate) mod placement;
pub(crate) mod quarantine;
pub(crate) mod quota_bound;
pub(crate) mod relays;
pub(crate) mod retry_time;
pub(crate) mod share;
pub(crate) mod speed;
pub(crate) mod stall_timeout;
pub(crate) mod store_capacity;
pub(crate) mod switches;
