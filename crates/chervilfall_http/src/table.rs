//! Calls to the platform's table.

use chervilfall_platform::{Row, ScanRequest, Transaction, TransactionAnswer};

use crate::service::{PlatformError, Service};

/// Client of the table; cheap to clone.
#[derive(Debug, Clone)]
pub struct TableClient {
    service: Service,
}

impl TableClient {
    /// Opens a client of the table at `base` that gives up after `timeout_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn open(base: String, token: String, timeout_ms: u64) -> Result<Self, PlatformError> {
        let service = Service::open(base, token, timeout_ms)?;
        Ok(Self { service })
    }

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unknown`] if it may have taken effect, and
    /// [`PlatformError::Refused`] if it surely did not.
    pub async fn commit(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionAnswer, PlatformError> {
        self.service.post("v1/transactions", transaction).await
    }

    /// Reads all rows whose keys begin with a prefix, in the order of their keys.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn scan(&self, ask: &ScanRequest) -> Result<Vec<Row>, PlatformError> {
        self.service.post("v1/scan", ask).await
    }
}
