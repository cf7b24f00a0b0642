//! Routes of requests to queues.

use chervilfall_planner::{Account, Configuration, Queue, Service};
use serde::{Deserialize, Serialize};

use crate::keys::KeyRing;

/// A queue and the requests that are routed to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host that requests name, in lower case and without a port.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// Calls need no key.
    #[serde(default)]
    pub public: bool,
    /// The queue.
    pub queue: Queue,
}

/// Limits of a request, besides the size of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a head, in bytes.
    pub max_head_bytes: u64,
    /// Time for a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The configuration in force, as a node needs it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Version, assigned by the operator.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Their keys.
    #[serde(default)]
    pub keys: KeyRing,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Limits of a request besides.
    #[serde(default)]
    pub request_limits: RequestLimits,
}

impl RouteTable {
    /// Returns the route of a request: the longest prefix of its path on its host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(name))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the part that a planner needs.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        let queues = self.routes.iter().map(|route| route.queue.clone());
        let services = self.services.iter().cloned();
        let accounts = self.accounts.iter().cloned();
        Configuration {
            version: self.version,
            queues: queues.map(|queue| (queue.name.clone(), queue)).collect(),
            accounts: accounts
                .map(|account| (account.name.clone(), account))
                .collect(),
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
        }
    }
}
