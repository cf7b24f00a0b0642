//! Calls to the platform's membership list.

use chervilfall_platform::MembershipList;

use crate::service::{read_json, PlatformError, Service};

/// Client of the list; cheap to clone.
#[derive(Debug, Clone)]
pub struct MembershipClient {
    service: Service,
}

impl MembershipClient {
    /// Opens a client of the list at `base` that gives up after `timeout_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn open(base: String, token: String, timeout_ms: u64) -> Result<Self, PlatformError> {
        let service = Service::open(base, token, timeout_ms)?;
        Ok(Self { service })
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn list(&self) -> Result<MembershipList, PlatformError> {
        let url = self.service.url("v1/members");
        let call = self.service.http.get(url);
        read_json(self.service.send(call).await?).await
    }
}
