//! Settings of the engines: every lease is short, so that faults outlast it.

use chervilfall_core::{CoreSettings, PeerSettings};

use crate::outside::{domain_name, ORPHAN_MS};
use crate::world::{domain_of, entry_id, ENTRIES};

/// Returns the settings of an entry instance.
pub(crate) fn core_settings(entry: usize) -> CoreSettings {
    let others = (0..ENTRIES).filter(|other| *other != entry);
    CoreSettings {
        peers: others
            .map(|other| PeerSettings {
                entry: entry_id(other),
                domain: domain_name(domain_of(other)),
            })
            .collect(),
        owns: true,
        endpoint_lease_ms: 2_000,
        orphan_ms: ORPHAN_MS,
        agent_timeout_ms: 400,
        agent_poll_ms: 500,
        claim_retry_ms: 200,
        link_silence_ms: 1_000,
        summary_interval_ms: 300,
        membership_interval_ms: 1_000,
        configuration_interval_ms: 1_000,
        entry_renew_ms: 500,
        entry_lease_ms: 3_000,
        commit_interval_ms: 50,
        table_writes_per_s: 100,
        shards: 3,
        queue_ms: 5_000,
        call_start_ms: 700,
        answer_margin_ms: 20,
        retention_ms: 30_000,
        task_backoff_ms: 100,
        task_attempts: 50,
        max_requests: 10_000,
        max_queued: 10_000,
        retry_permille: 1_000,
        ledger_retention_ms: 200_000,
        compact_rows: 6,
        clock_drift_ppm: 1_000,
    }
}
