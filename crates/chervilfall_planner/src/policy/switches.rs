//! Switches for individual policies, so that the effect of each can be evaluated.

use serde::Deserialize;

/// Switches for policies; all are on by default, unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// A job that cannot complete while it still has worth is refused when it is submitted. Off by
    /// default, because under a slow store it also refuses jobs that could be stored in time.
    pub admission_forecast: bool,
    /// A call for advice names as many endpoints as the waiting tasks need by the share of
    /// endpoints that were granted before.
    pub advice_call_size: bool,
    /// If more waits than one commit holds, urgent changes are stored first and with few rows.
    pub commit_order: bool,
    /// Work of the same priority starts in the order of its accounts' fair shares. Off by default,
    /// because only the platform knows whether its accounts compete for capacity.
    pub fair_share: bool,
    /// A node whose calls for advice fail while those of other nodes succeed makes no calls for some
    /// time.
    pub advice_node_health: bool,
    /// While a call renews the tickets of a gang, the capacity for which it was made is kept from
    /// latency-tolerant work of lower rank.
    pub gang_call_hold: bool,
    /// Latency-tolerant work leaves headroom for latency-sensitive work.
    pub headroom: bool,
    /// Work past three times its objective starts only on capacity that no other step can use.
    pub overdue_last: bool,
    /// An overloaded holder hands the group over to a node of at least its size.
    pub overload_handover: bool,
    /// Latency-sensitive work goes to fast endpoints and latency-tolerant work to slow ones.
    pub speed: bool,
    /// Refused callers are told different times to retry, and are accepted if they keep to them.
    pub spread_retries: bool,
    /// Short texts are stored in the rows of their jobs.
    pub texts_in_job_rows: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            admission_forecast: false,
            advice_call_size: true,
            advice_node_health: true,
            commit_order: true,
            fair_share: false,
            gang_call_hold: true,
            headroom: true,
            overdue_last: true,
            overload_handover: true,
            speed: true,
            spread_retries: true,
            texts_in_job_rows: true,
        }
    }
}
