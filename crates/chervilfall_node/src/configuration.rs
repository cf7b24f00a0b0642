//! The configuration in force at this node, and how long ago it was confirmed to be the newest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use crate::clock::now_ms;
use crate::routes::RouteTable;

/// Stands for a time that is not known.
const NEVER: u64 = u64::MAX;

/// The configuration in force; shared by the node's tasks.
#[derive(Debug)]
pub struct ConfigurationState {
    table: RwLock<Option<Arc<RouteTable>>>,
    /// When the last reading began that showed nothing newer, in milliseconds.
    confirmed_ms: AtomicU64,
}

impl Default for ConfigurationState {
    fn default() -> Self {
        Self {
            table: RwLock::default(),
            confirmed_ms: AtomicU64::new(NEVER),
        }
    }
}

impl ConfigurationState {
    /// Returns the configuration in force, if one is known.
    #[must_use]
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Returns how long ago the configuration was known to be the newest, if it ever was.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        (confirmed_ms != NEVER).then(|| now_ms().saturating_sub(confirmed_ms))
    }

    /// Notes that the configuration in force was the newest at a time.
    pub(crate) fn confirm(&self, at_ms: u64) {
        let earlier_ms = self.confirmed_ms.load(Ordering::Relaxed);
        if earlier_ms == NEVER || earlier_ms < at_ms {
            self.confirmed_ms.store(at_ms, Ordering::Relaxed);
        }
    }

    /// Puts a configuration in force that was the newest at a time, unless a newer one is. Returns whether it is in
    /// force now.
    pub(crate) fn put(&self, table: Arc<RouteTable>, at_ms: u64) -> bool {
        let (version, routes) = (table.version, table.routes.len());
        let unconfirmed_ms = self.age_ms();
        {
            let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
            if let Some(newer) = current.as_ref().filter(|current| current.version > version) {
                log::warn!(version = version, in_force = newer.version; "older configuration ignored");
                return false;
            }
            *current = Some(table);
        }
        self.confirm(at_ms);
        metrics::gauge!("chervilfall_configuration_version", "at" => "front").set(version as f64);
        if let Some(unconfirmed_ms) = unconfirmed_ms {
            // It was acknowledged since the last confirmation, so that this bounds how late it is.
            metrics::histogram!("chervilfall_configuration_in_force_seconds")
                .record(unconfirmed_ms as f64 / 1_000.0);
        }
        log::info!(
            version = version, routes = routes, late_at_most_ms = unconfirmed_ms;
            "configuration in force"
        );
        true
    }
}
