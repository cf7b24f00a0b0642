//! The directory in which services find each other by name while they start.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::kernel::Service;

/// A service that is needed and has not been started.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("service {0} is not running")]
pub struct MissingService(pub &'static str);

/// Running services by name.
#[derive(Debug, Default)]
pub struct Directory {
    services: BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>,
}

impl Directory {
    /// Returns a running service.
    ///
    /// # Errors
    ///
    /// Returns an error if no service of the name and type runs.
    pub fn find<S: Service>(&self) -> Result<Arc<S>, MissingService> {
        let service = self.services.get(S::NAME).cloned();
        service
            .and_then(|service| service.downcast().ok())
            .ok_or(MissingService(S::NAME))
    }

    pub(crate) fn add<S: Service>(&mut self, service: Arc<S>) {
        self.services.insert(S::NAME, service);
    }
}
