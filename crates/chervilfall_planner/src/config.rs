//! The configuration in force, as far as a planner needs it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::account::{Account, AccountName};
use crate::ids::Millis;

/// Name of a queue.
pub type QueueName = String;

/// Name of a service, a pool of endpoints.
pub type ServiceName = String;

/// Calls for advice whose fixed part takes at least this long count as slow: some times what a short request
/// may lose while it waits behind one.
const SLOW_DECIDE_MS: f64 = 50.0;

/// How long it takes to ask which endpoints may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceTimings {
    /// Time for a call.
    pub decide_ms: f64,
    /// Additional time for each endpoint that a call names.
    pub each_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

impl AdviceTimings {
    /// Returns how long a call that names `endpoints` takes.
    #[must_use]
    pub fn call_ms(&self, endpoints: usize) -> Millis {
        // A stated time is a small positive number of milliseconds, a call names few endpoints.
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let call_ms = (self.decide_ms + self.each_ms * endpoints as f64) as Millis;
        call_ms
    }

    /// Returns whether a call holds up others of its node for long.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.decide_ms >= SLOW_DECIDE_MS
    }
}

/// A queue.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Pool of endpoints that runs its tasks.
    pub service: ServiceName,
    /// Rank; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub attempts: u32,
    /// Factor on the longest chain of work in a job's objective.
    pub stretch: f64,
    /// Constant part of a job's objective.
    pub target_latency_ms: u64,
    /// Set if a start needs a ticket of the advice service.
    pub advice: Option<AdviceTimings>,
    /// Version of the configuration in which the queue stands so; 0 in rows and requests that do not tell.
    #[serde(default)]
    pub configuration: u64,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Endpoints refuse what exceeds their capacity.
    pub enforces_capacity: bool,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, Queue>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountName, Account>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
}

impl Configuration {
    /// Returns whether the endpoints of a service refuse what exceeds their capacity.
    pub(crate) fn enforces_capacity(&self, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.enforces_capacity)
    }

    /// Returns whether a service stands in the configuration; all do while none is known.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.contains_key(service)
    }
}
