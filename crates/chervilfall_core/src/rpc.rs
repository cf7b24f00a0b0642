//! Calls of callers and operators, and their replies.

use chervilfall_types::{
    Answer, DomainName, EndpointName, EntryId, ExplainEvent, Phase, RackName, Request, RequestKey,
    Resources, ShardId, TaskCounts, TeamName, Verdict,
};

use crate::burn::BurnRow;
use crate::configuration::ConfigurationDocument;

/// Names an RPC until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A call of a caller or an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RpcCall {
    /// Submits a request; a call's answer comes when it is final, a job's when it is accepted
    /// and final or `wait_ms` has passed.
    Submit {
        /// The request.
        request: Request,
        /// How long a job's submission waits for the final answer, in milliseconds.
        wait_ms: u64,
    },
    /// Fetches the answer to a request as it stands, or the final one if it comes in time.
    Fetch {
        /// Key of the request.
        key: RequestKey,
        /// How long to wait for the final answer, in milliseconds.
        wait_ms: u64,
    },
    /// Cancels a request.
    Cancel(RequestKey),
    /// Lists the requests that this instance knows.
    List,
    /// Reports the status of this instance.
    Status,
    /// Tells what happened to a request.
    Explain(RequestKey),
    /// Reads the configuration.
    Configuration,
    /// Replaces the configuration if its version is still the one in the document.
    Configure(Box<ConfigurationDocument>),
    /// Reports the burn of every objective.
    Burn,
}

/// A request in a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestReport {
    /// Its key.
    pub key: RequestKey,
    /// Its team.
    pub team: TeamName,
    /// Name of its class.
    pub class: &'static str,
    /// Where it stands.
    pub phase: Phase,
    /// What is known about its work.
    pub verdict: Option<Verdict>,
    /// Its tasks by state.
    pub tasks: Option<TaskCounts>,
}

/// State of an endpoint as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Its lease is not held here.
    Unowned,
    /// Its lease is asked for.
    Claiming,
    /// Its attempts are being read.
    Syncing,
    /// It takes work.
    Owned,
    /// It takes no new work.
    Draining,
    /// Its lease was held here and it can't be reached.
    Unreachable,
}

/// An endpoint in a status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointReport {
    /// Its name.
    pub name: EndpointName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its rack.
    pub rack: RackName,
    /// Its state.
    pub phase: EndpointPhase,
    /// What it can carry.
    pub capacity: Resources,
    /// What its attempts hold.
    pub reserved: Resources,
    /// Number of attempts on it.
    pub attempts: u64,
    /// Epoch of its lease.
    pub epoch: Option<u64>,
}

/// Another entry instance in a status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Its number.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether there is a link to it.
    pub connected: bool,
    /// Attempts that wait there.
    pub queued: u64,
}

/// Status of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceReport {
    /// Its number.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Time since that version was last confirmed, in milliseconds.
    pub config_age_ms: u64,
    /// Whether the table answered the last call.
    pub store_reachable: bool,
    /// Shards that it holds.
    pub shards: Vec<ShardId>,
    /// Attempts that wait.
    pub queued: u64,
    /// Endpoints that it owns or wants.
    pub endpoints: Vec<EndpointReport>,
    /// Other entry instances.
    pub peers: Vec<PeerReport>,
}

/// Reply to an RPC.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RpcReply {
    /// The answer to a request.
    Answer(Answer),
    /// Requests that this instance knows.
    Requests(Vec<RequestReport>),
    /// Status of this instance.
    Status(Box<InstanceReport>),
    /// What happened to a request, if the key is known.
    Explanation {
        /// The key.
        key: RequestKey,
        /// What happened, in order.
        events: Vec<ExplainEvent>,
        /// Whether any instance knows the key.
        known: bool,
    },
    /// The configuration in force.
    Configuration(Box<ConfigurationDocument>),
    /// The change lost a race; the configuration in force has this version.
    Conflict {
        /// Version that the change was made for.
        offered: u64,
        /// Version in force.
        current: u64,
    },
    /// The store can't be reached; the flag says whether the change may have taken effect.
    StoreUnavailable {
        /// Whether the change may have taken effect.
        may_have_run: bool,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Burn of every objective.
    Burn(Vec<BurnRow>),
}
