//! The parts of the configuration that a planner needs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::account::{Account, AccountName};
use crate::ids::Millis;
use crate::job::MAX_TIME_MS;

/// Name of a queue.
pub type QueueName = String;

/// Name of a service, a pool of endpoints.
pub type ServiceName = String;

/// Advice calls whose fixed part takes at least this long count as slow. It is several times the
/// delay that a short request can afford behind another call.
const SLOW_DECIDE_MS: f64 = 50.0;

/// Stated durations of calls to the advice service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceTimings {
    /// Fixed time per call.
    pub decide_ms: f64,
    /// Additional time for each endpoint named in a call.
    pub each_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

impl AdviceTimings {
    /// Returns the duration of a call that names `endpoints` endpoints.
    #[must_use]
    pub fn call_ms(&self, endpoints: usize) -> Millis {
        // A conversion to an integer saturates.
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let call_ms = (self.decide_ms + self.each_ms * endpoints as f64) as Millis;
        call_ms.min(MAX_TIME_MS)
    }

    /// Returns whether calls are slow enough to noticeably delay other calls from the same node.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.decide_ms >= SLOW_DECIDE_MS
    }
}

/// A queue.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: QueueName,
    /// Pool of endpoints that runs its tasks.
    pub service: ServiceName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task has failed.
    pub attempts: u32,
    /// Factor applied to the longest chain of work in a job's objective.
    pub stretch: f64,
    /// Constant part of a job's objective.
    pub target_latency_ms: u64,
    /// Set if starts require a ticket from the advice service.
    pub advice: Option<AdviceTimings>,
    /// Version of the configuration that these settings are from; 0 in rows and requests that do
    /// not state it.
    #[serde(default)]
    pub configuration: u64,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Its endpoints refuse starts that exceed their capacity.
    pub enforces_capacity: bool,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, Queue>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountName, Account>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
}

impl Configuration {
    /// Returns whether the endpoints of a service refuse starts that exceed their capacity.
    pub(crate) fn enforces_capacity(&self, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.enforces_capacity)
    }

    /// Returns whether the configuration has a service; always true while it has none at all.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.contains_key(service)
    }
}
