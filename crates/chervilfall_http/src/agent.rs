//! Calls to an endpoint's agent over HTTP.

use std::time::Duration;

use chervilfall_agent::{
    ExchangeAnswer, ExchangeRequest, LeaseAnswer, LeaseRequest, ListAnswer, PollAnswer,
    PollRequest, ReleaseRequest, StaleEpoch,
};
use reqwest::header::CONTENT_TYPE;
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::bytes::{encode, receive, Party};

/// Type of the bodies.
const JSON: &str = "application/json";

/// Why a call to an agent has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AgentError {
    /// The call never reached the agent; it had no effect.
    #[error("agent not reached: {0}")]
    NotSent(String),
    /// The call may have taken effect.
    #[error("no answer from agent: {0}")]
    Unknown(String),
    /// The agent refused the epoch; the call had no effect.
    #[error("epoch refused; epoch {} is in force", .0.epoch.0)]
    Stale(StaleEpoch),
}

impl AgentError {
    /// Returns whether the call surely had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Stale(_))
    }
}

/// Client of agents; cheap to clone, one pool of connections.
#[derive(Debug, Clone)]
pub struct AgentClient {
    http: Client,
    token: String,
    timeout: Duration,
}

impl AgentClient {
    /// Opens a client that authenticates with `token` and gives up after `timeout_ms`
    /// milliseconds beyond the wait that a call asks for.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn open(token: String, timeout_ms: u64) -> Result<Self, AgentError> {
        let http = Client::builder()
            .no_proxy()
            .build()
            .map_err(|error| AgentError::NotSent(error.to_string()))?;
        Ok(Self {
            http,
            token,
            timeout: Duration::from_millis(timeout_ms),
        })
    }

    /// Asks for the control lease of the endpoint at `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came.
    pub async fn lease(&self, base: &str, ask: &LeaseRequest) -> Result<LeaseAnswer, AgentError> {
        self.post(base, "v1/lease", ask, 0).await
    }

    /// Gives orders under the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or the epoch was refused.
    pub async fn exchange(
        &self,
        base: &str,
        ask: &ExchangeRequest,
    ) -> Result<ExchangeAnswer, AgentError> {
        self.post(base, "v1/exchange", ask, 0).await
    }

    /// Renews the lease and waits for events.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or the epoch was refused.
    pub async fn poll(&self, base: &str, ask: &PollRequest) -> Result<PollAnswer, AgentError> {
        self.post(base, "v1/poll", ask, ask.wait_ms).await
    }

    /// Lists what runs and what has ended, under the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or the epoch was refused.
    pub async fn list(&self, base: &str, ask: &ReleaseRequest) -> Result<ListAnswer, AgentError> {
        self.post(base, "v1/list", ask, 0).await
    }

    /// Gives the lease back.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer came or the epoch was refused.
    pub async fn release(&self, base: &str, ask: &ReleaseRequest) -> Result<(), AgentError> {
        self.post(base, "v1/release", ask, 0).await
    }

    async fn post<Ask, Answer>(
        &self,
        base: &str,
        path: &str,
        ask: &Ask,
        wait_ms: u64,
    ) -> Result<Answer, AgentError>
    where
        Ask: Serialize + Sync,
        Answer: DeserializeOwned,
    {
        let body =
            encode(Party::Agent, ask).map_err(|error| AgentError::NotSent(error.to_string()))?;
        let sent = self
            .http
            .post(format!("{base}/{path}"))
            .bearer_auth(&self.token)
            .timeout(self.timeout + Duration::from_millis(wait_ms))
            .header(CONTENT_TYPE, JSON)
            .body(body)
            .send()
            .await;
        let response = sent.map_err(|error| send_error(&error))?;
        read_answer(response).await
    }
}

fn send_error(error: &reqwest::Error) -> AgentError {
    if error.is_connect() || error.is_builder() {
        return AgentError::NotSent(error.to_string());
    }
    AgentError::Unknown(error.to_string())
}

async fn read_answer<Answer: DeserializeOwned>(response: Response) -> Result<Answer, AgentError> {
    let status = response.status();
    if status == StatusCode::CONFLICT {
        return Err(AgentError::Stale(read_body(response).await?));
    }
    if status.is_client_error() {
        return Err(AgentError::NotSent(format!("agent answered {status}")));
    }
    if !status.is_success() {
        return Err(AgentError::Unknown(format!("agent answered {status}")));
    }
    read_body(response).await
}

async fn read_body<T: DeserializeOwned>(response: Response) -> Result<T, AgentError> {
    let bytes = receive(Party::Agent, response)
        .await
        .map_err(|error| AgentError::Unknown(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| AgentError::Unknown(error.to_string()))
}
