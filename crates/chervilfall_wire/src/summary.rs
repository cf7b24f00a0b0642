//! What an entry instance tells its peers about itself once a second.

use std::net::SocketAddr;

use chervilfall_types::{DomainName, EndpointName, EntryId, Epoch, Resources, ShardId};
use serde::{Deserialize, Serialize};

/// A shard and the epoch under which its holder holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the holder.
    pub epoch: Epoch,
}

/// Load and duties of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Free resources of the owned endpoints, summed.
    pub free: Resources,
    /// The largest free amount of each resource on one owned endpoint.
    pub largest_free: Resources,
    /// Attempts that wait at the owner.
    pub queued: u32,
    /// Number of owned endpoints.
    pub endpoints: u32,
    /// Shards that it holds.
    pub shards: Vec<ShardClaim>,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

/// Endpoints of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ownership {
    /// Endpoints whose lease it holds, whose attempts it has reported and whose fence it has set.
    pub synced: Vec<EndpointName>,
    /// Endpoints whose lease it holds or asks for without having reported their attempts.
    pub claimed: Vec<EndpointName>,
}

/// Where a peer listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Number of the peer.
    pub entry: EntryId,
    /// Failure domain of the peer.
    pub domain: DomainName,
    /// Address of its link listener.
    pub address: SocketAddr,
}
