//! The platform's list of endpoints; it lags, so it is a hint and never proof.

use chervilfall_types::{DomainName, EndpointName, RackName, Resources, ServiceName};
use serde::{Deserialize, Serialize};

/// Whether an endpoint stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It takes work.
    Live,
    /// It is about to go and takes no new work.
    Leaving,
}

/// One endpoint in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its name.
    pub name: EndpointName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its rack.
    pub rack: RackName,
    /// Base address of its agent.
    pub agent: String,
    /// Service that it runs calls of.
    pub service: ServiceName,
    /// What it can carry.
    pub capacity: Resources,
    /// Whether it stays.
    pub state: EndpointState,
}

/// The list as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MembershipList {
    /// The endpoints.
    pub endpoints: Vec<EndpointRecord>,
}
