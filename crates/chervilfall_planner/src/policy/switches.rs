//! Switches for individual policies, so that the effect of each can be evaluated.

use serde::Deserialize;

/// Switches for policies; all are on by default, unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// A job that cannot complete while it still has worth is refused when it is submitted. Off by
    /// default, because if a store that has been slow for long recovers, it would have stored some of
    /// the jobs that were refused.
    pub admission_forecast: bool,
    /// A call for advice names as many endpoints as the waiting tasks need by the share of
    /// endpoints that were granted before. Off by default, because shorter calls also let
    /// latency-tolerant work take capacity that gangs wait for.
    pub advice_call_size: bool,
    /// A node whose calls for advice fail while those of other nodes succeed makes no calls for some
    /// time.
    pub advice_node_health: bool,
    /// If more waits than one commit holds, urgent changes are stored first and with few rows.
    pub commit_order: bool,
    /// Runs that an endpoint's announced departure would end are stopped with a checkpoint, or
    /// restarted elsewhere while they are young.
    pub departures: bool,
    /// A holder with more endpoints than its size carries calls them through followers. A follower
    /// relays orders only if this is on.
    pub endpoint_relays: bool,
    /// Endpoints that fail many of their latest runs are quarantined, and tasks that have failed
    /// prefer endpoints without recent failures.
    pub failure_share: bool,
    /// Work of the same priority starts in the order of its accounts' fair shares. Off by default,
    /// because only the platform knows whether its accounts compete for capacity.
    pub fair_share: bool,
    /// While a call renews the tickets of a gang, the capacity for which it was made is kept from
    /// latency-tolerant work of lower rank.
    pub gang_call_hold: bool,
    /// Latency-tolerant work leaves headroom for latency-sensitive work.
    pub headroom: bool,
    /// Fast calls for advice name the endpoints with the least free capacity that fits.
    pub name_least_free: bool,
    /// Work past three times its objective starts only on capacity that no other step can use.
    pub overdue_last: bool,
    /// An overloaded holder hands the group over to a node of at least its size.
    pub overload_handover: bool,
    /// A job that its account's quota cannot serve beside the accepted work of the account while it
    /// has worth is refused when it is submitted.
    pub quota_bound: bool,
    /// Latency-sensitive work goes to fast endpoints and latency-tolerant work to slow ones.
    pub speed: bool,
    /// Refused callers are told different times to retry, and are accepted if they keep to them.
    pub spread_retries: bool,
    /// Short texts are stored in the rows of their jobs.
    pub texts_in_job_rows: bool,
    /// Latency-sensitive work prefers endpoints that are not slow after their start.
    pub warm_endpoints: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            admission_forecast: false,
            advice_call_size: false,
            advice_node_health: true,
            commit_order: true,
            departures: true,
            endpoint_relays: true,
            failure_share: true,
            fair_share: false,
            gang_call_hold: true,
            headroom: true,
            name_least_free: true,
            overdue_last: true,
            overload_handover: true,
            quota_bound: true,
            speed: true,
            spread_retries: true,
            texts_in_job_rows: true,
            warm_endpoints: true,
        }
    }
}
