//! What the clients of the platform share.

use std::time::Duration;

use reqwest::header::CONTENT_TYPE;
use reqwest::{Client, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::bytes::{encode, receive, Party};

/// Why a call to the platform has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call surely had no effect.
    #[error("platform refused: {0}")]
    Refused(String),
    /// The call may have taken effect.
    #[error("no answer from platform: {0}")]
    Unknown(String),
}

/// Base address, credential and time limit of one service of the platform.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) http: Client,
    base: String,
    token: String,
    timeout: Duration,
}

impl Service {
    pub(crate) fn open(
        base: String,
        token: String,
        timeout_ms: u64,
    ) -> Result<Self, PlatformError> {
        let http = Client::builder()
            .no_proxy()
            .build()
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        Ok(Self {
            http,
            base,
            token,
            timeout: Duration::from_millis(timeout_ms),
        })
    }

    /// Posts a JSON body and reads the JSON of the answer.
    pub(crate) async fn post<Ask: Serialize + Sync, Answer: DeserializeOwned>(
        &self,
        path: &str,
        ask: &Ask,
    ) -> Result<Answer, PlatformError> {
        let body = encode(Party::Platform, ask)
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let call = self
            .http
            .post(self.url(path))
            .header(CONTENT_TYPE, "application/json")
            .body(body);
        read_json(self.send(call).await?).await
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.base)
    }

    /// Sends a call and passes on only a successful response.
    pub(crate) async fn send(&self, call: RequestBuilder) -> Result<Response, PlatformError> {
        let sent = call
            .bearer_auth(&self.token)
            .timeout(self.timeout)
            .send()
            .await;
        let response = sent.map_err(|error| send_error(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = format!("platform answered {status}");
        if status.is_client_error() {
            return Err(PlatformError::Refused(text));
        }
        Err(PlatformError::Unknown(text))
    }
}

fn send_error(error: &reqwest::Error) -> PlatformError {
    if error.is_connect() || error.is_builder() {
        return PlatformError::Refused(error.to_string());
    }
    PlatformError::Unknown(error.to_string())
}

/// Reads the JSON of a response; a failure to do so leaves the outcome unknown.
pub(crate) async fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, PlatformError> {
    let bytes = receive(Party::Platform, response)
        .await
        .map_err(|error| PlatformError::Unknown(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| PlatformError::Unknown(error.to_string()))
}
