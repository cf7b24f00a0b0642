//! The groups of settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::docs::FieldDoc;
use crate::group::settings_group;
use crate::options::PeerOptions;

settings_group! {
    /// Timings and bounds of links between entry instances.
    "links", LinkOptions, LinkTimings {
        plain "IP address and port"
        /// Where links of other entry instances are listened for.
        listen: SocketAddr,
        plain "a path"
        /// File with the secret that all entry instances share.
        secret_file: PathBuf,
        plain "a list of `entry`, `domain`, `address`"
        /// The other entry instances of the cell.
        peers: Vec<PeerOptions>,
        /// How often a heartbeat is sent, in milliseconds.
        heartbeat_ms: u64 = 500 in 10..=60_000,
        /// Silence after which a link counts as down, in milliseconds.
        silence_ms: u64 = 2_000 in 50..=300_000,
        /// Time within which a handshake must be done, in milliseconds.
        handshake_ms: u64 = 2_000 in 50..=60_000,
        /// First pause before a peer is dialed again, in milliseconds.
        redial_ms: u64 = 100 in 10..=60_000,
        /// Most messages that wait for one peer.
        queue: usize = 8_192 in 16..=1_048_576,
    }
}

settings_group! {
    /// Limits of the RPC.
    "rpc", RpcOptions, RpcLimits {
        plain "IP address and port"
        /// Where requests of callers and operators are listened for.
        listen: SocketAddr,
        plain "a path"
        /// File with the token of callers.
        caller_token_file: PathBuf,
        plain "a path"
        /// File with the token of operators.
        operator_token_file: PathBuf,
        /// Largest body of a request, in kibibytes.
        body_limit_kib: u64 = 256 in 1..=65_536,
        /// Time within which the header of a request must have arrived, in milliseconds.
        header_ms: u64 = 10_000 in 100..=120_000,
        /// Time within which the body of a request must have arrived, in milliseconds.
        body_ms: u64 = 5_000 in 100..=120_000,
        /// Most requests that are served at a time.
        max_concurrent: usize = 4_096 in 1..=1_048_576,
        /// Threads that serve requests and move bytes.
        workers: usize = 2 in 1..=256,
        /// Longest wait that a caller may ask for, in milliseconds.
        max_wait_ms: u64 = 60_000 in 1..=600_000,
        /// Longest deadline of a request, in milliseconds.
        max_deadline_ms: u64 = 600_000 in 1..=86_400_000,
        /// Most tasks of one job.
        max_tasks: u32 = 10_000 in 1..=1_000_000,
    }
}

settings_group! {
    /// Timings of calls to the platform.
    "platform", PlatformOptions, PlatformTimings {
        plain "an HTTP address"
        /// Base address of the table.
        table: String,
        plain "an HTTP address"
        /// Base address of the object store.
        objects: String,
        plain "an HTTP address"
        /// Base address of the list of endpoints.
        members: String,
        plain "a path"
        /// File with the token of the platform.
        token_file: PathBuf,
        /// How long a call may take, in milliseconds.
        timeout_ms: u64 = 1_000 in 10..=60_000,
        /// How often the list of endpoints is read, in milliseconds.
        membership_interval_ms: u64 = 1_000 in 100..=60_000,
        /// How often the configuration is read, in milliseconds.
        configuration_interval_ms: u64 = 1_000 in 100..=60_000,
    }
}

settings_group! {
    /// Leases of endpoints and calls to their agents.
    "agents", AgentOptions, AgentSettings {
        plain "a path"
        /// File with the token of the endpoints' agents.
        token_file: PathBuf,
        /// How long a call to an agent may take, in milliseconds.
        timeout_ms: u64 = 1_000 in 10..=60_000,
        /// How long a poll of an agent waits for an event, in milliseconds.
        poll_ms: u64 = 1_000 in 10..=60_000,
        /// Length of the control lease of an endpoint, in milliseconds.
        lease_ms: u64 = 4_000 in 100..=300_000,
        /// How long an endpoint goes on without a lease before it stops its attempts, in milliseconds; the agents' own setting must not be larger.
        orphan_ms: u64 = 20_000 in 100..=3_600_000,
        /// How often an unsuccessful claim is repeated, in milliseconds.
        claim_retry_ms: u64 = 200 in 10..=60_000,
    }
}

settings_group! {
    /// Shards of the request keys and their log in the table.
    "ledger", LedgerOptions, LedgerSettings {
        /// Number of shards; the same in the whole cell, and never changed while there is work.
        shards: u16 = 16 in 1..=1_024,
        /// How often this instance renews its row in the table, in milliseconds.
        entry_renew_ms: u64 = 1_000 in 50..=60_000,
        /// How long another instance's row may stand still before it counts as gone, in milliseconds.
        entry_lease_ms: u64 = 5_000 in 200..=600_000,
        /// Least time between two commits of a shard, in milliseconds.
        commit_interval_ms: u64 = 50 in 1..=10_000,
        /// Most writes to the table a second that this instance may make; all instances together must stay under the table's ceiling.
        table_writes_per_s: u32 = 40 in 1..=100_000,
        /// How long keys of non-idempotent calls are kept with their outcomes, and jobs after they became final, in milliseconds; a key may be used again after it.
        retention_ms: u64 = 3_600_000 in 1_000..=604_800_000,
        /// Rows of a shard's log from which it is compacted into a snapshot.
        compact_rows: usize = 500 in 10..=100_000,
    }
}

settings_group! {
    /// Requests at the instance that takes them.
    "requests", RequestOptions, RequestSettings {
        /// Most requests that one instance keeps at a time.
        max_requests: usize = 200_000 in 1..=10_000_000,
        /// How long answers are kept after they became final, in milliseconds.
        retention_ms: u64 = 60_000 in 100..=86_400_000,
        /// How long a call may wait at one owner before it is routed anew, in milliseconds.
        call_start_ms: u64 = 1_000 in 10..=600_000,
        /// How much earlier than the caller's deadline a call must start, in milliseconds.
        answer_margin_ms: u64 = 20 in 0..=60_000,
        /// Retries allowed for each thousand first attempts.
        retry_permille: u32 = 200 in 0..=10_000,
    }
}

settings_group! {
    /// Queues and tasks.
    "scheduling", SchedulingOptions, SchedulingSettings {
        /// How often peers hear a summary of the load, in milliseconds.
        summary_interval_ms: u64 = 500 in 10..=60_000,
        /// How long a task of a job may wait at one owner before it is routed anew, in milliseconds.
        queue_ms: u64 = 30_000 in 100..=3_600_000,
        /// Most attempts that wait at one owner.
        max_queued: usize = 50_000 in 1..=10_000_000,
        /// First pause after an attempt at a task failed, in milliseconds.
        task_backoff_ms: u64 = 200 in 1..=3_600_000,
        /// Attempts at a task that fail before the task is given up.
        task_attempts: u32 = 4 in 1..=1_000,
        /// Bound on the difference of two clocks' rates, in parts per million.
        clock_drift_ppm: u64 = 1_000 in 0..=100_000,
    }
}

settings_group! {
    /// Planned stops.
    "stop", StopOptions, StopSettings {
        /// Longest time that a planned stop may take, in milliseconds; it ends as soon as nothing is left to do.
        grace_ms: u64 = 30_000 in 0..=3_600_000,
    }
}

/// Returns the reference of all groups.
pub(crate) fn all_docs() -> Vec<&'static [FieldDoc]> {
    vec![
        LinkOptions::DOCS,
        RpcOptions::DOCS,
        PlatformOptions::DOCS,
        AgentOptions::DOCS,
        LedgerOptions::DOCS,
        RequestOptions::DOCS,
        SchedulingOptions::DOCS,
        StopOptions::DOCS,
    ]
}
