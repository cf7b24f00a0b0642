//! What the core is told when it starts.

use chervilfall_types::{DomainName, EntryId, EntryIncarnation};

/// Time between two ticks from which this instance counts as having been paused: what it believes
/// to have watched meanwhile, it has not.
pub(crate) const OBSERVATION_GAP_MS: u64 = 500;

/// Another entry instance that may exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Its number.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Who this entry instance is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// This run of the instance.
    pub incarnation: EntryIncarnation,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Durations and bounds of the core; all durations are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoreSettings {
    /// All other entry instances of the cell.
    pub peers: Vec<PeerSettings>,
    /// Whether this instance owns endpoints and shards, or only takes requests.
    pub owns: bool,
    /// Length of the control lease of an endpoint.
    pub endpoint_lease_ms: u64,
    /// How long an endpoint goes on without a lease before it stops its attempts.
    pub orphan_ms: u64,
    /// How long a call to an agent may take.
    pub agent_timeout_ms: u64,
    /// How long a poll of an agent waits for an event.
    pub agent_poll_ms: u64,
    /// How often an unsuccessful claim of an endpoint is repeated.
    pub claim_retry_ms: u64,
    /// Silence after which a link counts as down; what a peer said longer ago has been heard.
    pub link_silence_ms: u64,
    /// How often peers hear a summary.
    pub summary_interval_ms: u64,
    /// Age from which the list of endpoints is read again.
    pub membership_interval_ms: u64,
    /// How often the configuration is read.
    pub configuration_interval_ms: u64,
    /// How often this instance renews its row in the table.
    pub entry_renew_ms: u64,
    /// How long the row of another instance may stand still before it counts as gone.
    pub entry_lease_ms: u64,
    /// Least time between two commits of a shard.
    pub commit_interval_ms: u64,
    /// Most writes to the table a second that this instance may make.
    pub table_writes_per_s: u32,
    /// Number of shards of the request keys.
    pub shards: u16,
    /// How long a task of a job may wait at an owner before it is routed anew.
    pub queue_ms: u64,
    /// How long a call may wait at one owner before it is routed anew.
    pub call_start_ms: u64,
    /// How much earlier than the caller's deadline a call must start.
    pub answer_margin_ms: u64,
    /// How long answers are kept after they became final.
    pub retention_ms: u64,
    /// How long an attempt at a failed task waits before the next.
    pub task_backoff_ms: u64,
    /// Most attempts at a task that fail before the task is given up.
    pub task_attempts: u32,
    /// Most requests that one instance keeps at a time.
    pub max_requests: usize,
    /// Most attempts that wait at one owner.
    pub max_queued: usize,
    /// Retries allowed for each thousand first attempts.
    pub retry_permille: u32,
    /// How long the ledger keeps claims, and jobs after they became final.
    pub ledger_retention_ms: u64,
    /// Rows of a shard's log from which it is compacted into a snapshot.
    pub compact_rows: usize,
    /// Bound on the difference of two clocks' rates, in parts per million.
    pub clock_drift_ppm: u64,
}

impl CoreSettings {
    /// Returns the time after a lease of `lease_ms` by which every clock agrees that it lapsed.
    #[must_use]
    pub(crate) const fn with_drift(&self, duration_ms: u64) -> u64 {
        let drift_ms = duration_ms.saturating_mul(self.clock_drift_ppm) / 1_000_000;
        duration_ms.saturating_add(drift_ms).saturating_add(1)
    }

    /// Returns the time for which a holder may rely on a lease of `lease_ms`.
    #[must_use]
    pub(crate) const fn without_drift(&self, duration_ms: u64) -> u64 {
        let drift_ms = duration_ms.saturating_mul(self.clock_drift_ppm) / 1_000_000;
        duration_ms.saturating_sub(drift_ms).saturating_sub(1)
    }

    /// Returns how long after the last renewal was sent an endpoint's attempts surely stopped, as
    /// seen by an instance that hears of other owners with the delay of a link.
    #[must_use]
    pub(crate) const fn attempts_stopped_ms(&self) -> u64 {
        let bound_ms = self.agent_timeout_ms
            + self.agent_poll_ms
            + self.endpoint_lease_ms
            + self.orphan_ms
            + self.link_silence_ms
            + OBSERVATION_GAP_MS;
        self.with_drift(bound_ms)
    }
}
