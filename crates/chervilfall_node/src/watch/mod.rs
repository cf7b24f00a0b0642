//! Tasks that watch the store: claim row, configuration, list of endpoints.

mod change_cursor;
pub(crate) mod claim;
pub(crate) mod configuration;
pub(crate) mod endpoints;
pub(crate) mod pages;
pub(crate) mod readings;
pub(crate) mod recovery;
pub(crate) mod takeover;

use crate::ports::StoreError;

/// Logs once when a dependency is lost and once when it is available again.
#[derive(Debug)]
pub(crate) struct DependencyStatus {
    name: &'static str,
    lost_ms: Option<u64>,
}

impl DependencyStatus {
    pub(crate) const fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_ms: None,
        }
    }

    pub(crate) const fn name(&self) -> &'static str {
        self.name
    }

    pub(crate) fn note<T>(&mut self, result: &Result<T, StoreError>) {
        let now = crate::clock::now_ms();
        match (result, self.lost_ms) {
            (Ok(_), Some(lost_ms)) => {
                log::info!(dependency = self.name, away_ms = now - lost_ms; "dependency regained");
                self.lost_ms = None;
            }
            (Err(error), None) => {
                log::warn!(dependency = self.name, error:% = error; "dependency lost");
                self.lost_ms = Some(now);
            }
            (Ok(_), None) | (Err(_), Some(_)) => {}
        }
    }
}
