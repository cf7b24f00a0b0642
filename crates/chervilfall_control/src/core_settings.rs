//! The core's settings from the daemon's.

use chervilfall_core::{CoreSettings, PeerSettings};
use chervilfall_settings::{Role, Settings};

/// Returns the settings of the decision core.
#[must_use]
pub fn core_settings(settings: &Settings) -> CoreSettings {
    let peers = settings.links.peers.iter().map(|peer| PeerSettings {
        entry: peer.entry,
        domain: peer.domain.clone(),
    });
    let agents = &settings.agents.timings;
    let ledger = &settings.ledger;
    let requests = &settings.requests;
    let scheduling = &settings.scheduling;
    CoreSettings {
        peers: peers.collect(),
        owns: settings.role == Role::Entry,
        endpoint_lease_ms: agents.lease_ms,
        orphan_ms: agents.orphan_ms,
        agent_timeout_ms: agents.timeout_ms,
        agent_poll_ms: agents.poll_ms,
        claim_retry_ms: agents.claim_retry_ms,
        link_silence_ms: settings.links.timings.silence_ms,
        summary_interval_ms: scheduling.summary_interval_ms,
        membership_interval_ms: settings.platform.timings.membership_interval_ms,
        configuration_interval_ms: settings.platform.timings.configuration_interval_ms,
        entry_renew_ms: ledger.entry_renew_ms,
        entry_lease_ms: ledger.entry_lease_ms,
        commit_interval_ms: ledger.commit_interval_ms,
        table_writes_per_s: ledger.table_writes_per_s,
        shards: ledger.shards,
        ledger_retention_ms: ledger.retention_ms,
        queue_ms: scheduling.queue_ms,
        call_start_ms: requests.call_start_ms,
        answer_margin_ms: requests.answer_margin_ms,
        retention_ms: requests.retention_ms,
        task_backoff_ms: scheduling.task_backoff_ms,
        task_attempts: scheduling.task_attempts,
        max_requests: requests.max_requests,
        max_queued: scheduling.max_queued,
        retry_permille: requests.retry_permille,
        compact_rows: ledger.compact_rows,
        clock_drift_ppm: scheduling.clock_drift_ppm,
    }
}
