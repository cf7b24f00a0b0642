//! Refusals of requests before any work was done.

use std::io::Cursor;

use chervilfall_schema::{RequestError, Verdict};
use rocket::http::{ContentType, Header, Status};
use rocket::response::{Responder, Result};
use rocket::{Request, Response};

/// A refusal with its status; the verdict is always that the work did not run.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) status: Status,
    pub(crate) error: RequestError,
}

impl Refusal {
    pub(crate) fn new(status: Status, field: &str, problem: &str, allowed: &str) -> Self {
        Self {
            status,
            error: RequestError {
                verdict: Verdict::NotRun,
                field: field.to_owned(),
                problem: problem.to_owned(),
                allowed: allowed.to_owned(),
                retry_after_ms: None,
            },
        }
    }

    /// Returns a refusal of a field's value.
    pub(crate) fn field(field: &str, problem: &str, allowed: &str) -> Self {
        Self::new(Status::BadRequest, field, problem, allowed)
    }

    /// Returns a refusal for lack of room.
    pub(crate) fn busy(allowed: &str) -> Self {
        /// When to come back, in milliseconds.
        const RETRY_AFTER_MS: u64 = 500;
        let mut refusal = Self::new(Status::ServiceUnavailable, "request", "too many", allowed);
        refusal.error.retry_after_ms = Some(RETRY_AFTER_MS);
        refusal
    }
}

impl<'r> Responder<'r, 'static> for Refusal {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let body = rocket::serde::json::to_string(&self.error).unwrap_or_default();
        let mut response = Response::build();
        response
            .status(self.status)
            .header(ContentType::JSON)
            .sized_body(body.len(), Cursor::new(body));
        if let Some(retry_after_ms) = self.error.retry_after_ms {
            response.header(retry_after(retry_after_ms));
        }
        response.ok()
    }
}

/// Returns the header that says when to come back, rounded up to whole seconds.
pub(crate) fn retry_after(retry_after_ms: u64) -> Header<'static> {
    Header::new("Retry-After", retry_after_ms.div_ceil(1_000).to_string())
}
