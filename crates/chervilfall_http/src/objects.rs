//! The object store.

use crate::service::{PlatformError, Service};

/// Client of the object store; cheap to clone.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    service: Service,
}

impl ObjectClient {
    /// Opens a client of the store at `base` that gives up after `timeout_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn open(base: String, token: String, timeout_ms: u64) -> Result<Self, PlatformError> {
        let service = Service::open(base, token, timeout_ms)?;
        Ok(Self { service })
    }

    /// Writes an object; a repeat with the same content has the same effect.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came; the object may have been written.
    pub async fn put(&self, name: &str, content: String) -> Result<(), PlatformError> {
        let url = self.service.url(&format!("v1/objects/{name}"));
        let call = self.service.http.put(url).body(content);
        self.service.send(call).await?;
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the object does not exist or no answer came.
    pub async fn get(&self, name: &str) -> Result<String, PlatformError> {
        let url = self.service.url(&format!("v1/objects/{name}"));
        let call = self.service.http.get(url);
        let response = self.service.send(call).await?;
        response
            .text()
            .await
            .map_err(|error| PlatformError::Unknown(error.to_string()))
    }

    /// Deletes an object; it is no error if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came; the object may have been deleted.
    pub async fn delete(&self, name: &str) -> Result<(), PlatformError> {
        let url = self.service.url(&format!("v1/objects/{name}"));
        let call = self.service.http.delete(url);
        self.service.send(call).await?;
        Ok(())
    }
}
