//! Client of the RPC.

use std::time::Duration;

use chervilfall_schema::{
    Answer, BurnReport, Configuration, ConfigurationConflict, Explanation, InstanceStatus,
    RequestError, RequestList, SubmitRequest,
};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

/// Time beyond the asked wait after which a call is given up, in milliseconds.
const SLACK_MS: u64 = 5_000;

/// Why a call has no result.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The instance was not reached; the call had no effect.
    #[error("can't reach {base}: {problem}")]
    NotReached {
        /// Base address of the instance.
        base: String,
        /// What went wrong.
        problem: String,
    },
    /// The connection was lost; the call may have taken effect, and its answer can be fetched by
    /// key from any instance.
    #[error("lost the connection to {base}: {problem}")]
    Lost {
        /// Base address of the instance.
        base: String,
        /// What went wrong.
        problem: String,
    },
    /// The instance refused the call.
    #[error("{}: {} (allowed: {})", .0.field, .0.problem, .0.allowed)]
    Refused(Box<RequestError>),
    /// The change of the configuration lost a race.
    #[error("{}", .0.message)]
    Conflict(Box<ConfigurationConflict>),
}

/// Client of one entry instance, or of the balancer before all of them.
#[derive(Debug, Clone)]
pub struct RpcClient {
    http: Client,
    base: String,
    token: String,
}

impl RpcClient {
    /// Opens a client of the instance at `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn open(base: &str, token: &str) -> Result<Self, ClientError> {
        let base = base.trim_end_matches('/').to_owned();
        let http =
            Client::builder()
                .no_proxy()
                .build()
                .map_err(|error| ClientError::NotReached {
                    base: base.clone(),
                    problem: error.to_string(),
                })?;
        Ok(Self {
            http,
            base,
            token: token.to_owned(),
        })
    }

    /// Returns the base address.
    #[must_use]
    pub fn base(&self) -> &str {
        &self.base
    }

    /// Submits a request.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer to the request.
    pub async fn submit(&self, request: &SubmitRequest) -> Result<Answer, ClientError> {
        let wait_ms = request.deadline_ms.get() + request.wait_ms.unwrap_or(0);
        let call = self.http.post(self.url("v1/requests")).json(request);
        self.answer(call, wait_ms).await
    }

    /// Fetches the answer to a request, waiting up to `wait_ms` milliseconds for the final one.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn fetch(&self, key: &str, wait_ms: u64) -> Result<Answer, ClientError> {
        let url = self.url(&format!("v1/requests/{key}?wait_ms={wait_ms}"));
        self.answer(self.http.get(url), wait_ms).await
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn cancel(&self, key: &str) -> Result<Answer, ClientError> {
        let url = self.url(&format!("v1/requests/{key}"));
        self.answer(self.http.delete(url), 0).await
    }

    /// Tells what happened to a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is not known or the instance can't be reached.
    pub async fn explain(&self, key: &str) -> Result<Explanation, ClientError> {
        self.get(&format!("v1/requests/{key}/explanation")).await
    }

    /// Lists the requests that the instance knows.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached or refuses.
    pub async fn list(&self) -> Result<RequestList, ClientError> {
        self.get("v1/requests").await
    }

    /// Reads the status of the instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached or refuses.
    pub async fn status(&self) -> Result<InstanceStatus, ClientError> {
        self.get("v1/status").await
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached or refuses.
    pub async fn configuration(&self) -> Result<Configuration, ClientError> {
        self.get("v1/configuration").await
    }

    /// Reads the burn of every objective.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached or refuses.
    pub async fn burn(&self) -> Result<BurnReport, ClientError> {
        self.get("v1/burn").await
    }

    /// Replaces the configuration whose version the document names.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Conflict`] if another version is in force.
    pub async fn configure(&self, document: &Configuration) -> Result<Configuration, ClientError> {
        let call = self.http.put(self.url("v1/configuration")).json(document);
        let response = self.send(call, 0).await?;
        if response.status() == StatusCode::CONFLICT {
            let conflict = self.body(response).await?;
            return Err(ClientError::Conflict(Box::new(conflict)));
        }
        self.success(response).await
    }

    /// Returns whether the instance says that it takes requests.
    pub async fn is_ready(&self) -> bool {
        let call = self.http.get(self.url("readyz"));
        let response = self.send(call, 0).await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Reads the metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let call = self.http.get(self.url("metrics"));
        let response = self.send(call, 0).await?;
        response.text().await.map_err(|error| self.lost(&error))
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.base)
    }

    fn lost(&self, error: &reqwest::Error) -> ClientError {
        ClientError::Lost {
            base: self.base.clone(),
            problem: error.to_string(),
        }
    }

    async fn send(&self, call: RequestBuilder, wait_ms: u64) -> Result<Response, ClientError> {
        let sent = call
            .bearer_auth(&self.token)
            .timeout(Duration::from_millis(wait_ms + SLACK_MS))
            .send()
            .await;
        sent.map_err(|error| {
            if error.is_connect() || error.is_builder() {
                return ClientError::NotReached {
                    base: self.base.clone(),
                    problem: error.to_string(),
                };
            }
            self.lost(&error)
        })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = self.send(self.http.get(self.url(path)), 0).await?;
        self.success(response).await
    }

    async fn success<T: DeserializeOwned>(&self, response: Response) -> Result<T, ClientError> {
        if response.status().is_success() {
            return self.body(response).await;
        }
        let refusal = self.body(response).await?;
        Err(ClientError::Refused(Box::new(refusal)))
    }

    /// Reads an answer; refusals with a verdict come as answers too, whatever their status.
    async fn answer(&self, call: RequestBuilder, wait_ms: u64) -> Result<Answer, ClientError> {
        let response = self.send(call, wait_ms).await?;
        let bytes = response.bytes().await.map_err(|error| self.lost(&error))?;
        if let Ok(answer) = serde_json::from_slice(&bytes) {
            return Ok(answer);
        }
        match serde_json::from_slice(&bytes) {
            Ok(refusal) => Err(ClientError::Refused(Box::new(refusal))),
            Err(error) => Err(ClientError::Lost {
                base: self.base.clone(),
                problem: format!("the answer can't be read: {error}"),
            }),
        }
    }

    async fn body<T: DeserializeOwned>(&self, response: Response) -> Result<T, ClientError> {
        response.json().await.map_err(|error| self.lost(&error))
    }
}
