//! Bodies of requests: bounded in size and time, and refused with the field that is wrong.

use std::time::Duration;

use chervilfall_settings::RpcLimits;
use rocket::data::{Data, FromData, Outcome, ToByteUnit};
use rocket::http::Status;
use rocket::request::Request;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::guards::note_refusal;
use crate::refusal::Refusal;
use crate::service::Shared;

/// A JSON body.
#[derive(Debug)]
pub(crate) struct Body<T>(pub(crate) T);

#[rocket::async_trait]
impl<'r, T: DeserializeOwned + Send> FromData<'r> for Body<T> {
    type Error = Refusal;

    async fn from_data(request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r, Self> {
        let Some(shared) = request.rocket().state::<Shared>() else {
            return Outcome::Error((Status::InternalServerError, Refusal::busy("")));
        };
        match read(&shared.limits, data).await {
            Ok(value) => Outcome::Success(Self(value)),
            Err(refusal) => {
                note_refusal(request, &refusal);
                Outcome::Error((refusal.status, refusal))
            }
        }
    }
}

async fn read<T: DeserializeOwned>(limits: &RpcLimits, data: Data<'_>) -> Result<T, Refusal> {
    let limit = limits.body_limit_kib.kibibytes();
    let time = Duration::from_millis(limits.body_ms);
    let allowed = format!(
        "at most {} KiB within {} ms",
        limits.body_limit_kib, limits.body_ms
    );
    let refuse = |status, problem: &str| Refusal::new(status, "body", problem, &allowed);
    let text = timeout(time, data.open(limit).into_string())
        .await
        .map_err(|_| refuse(Status::RequestTimeout, "came too slowly"))?
        .map_err(|error| refuse(Status::BadRequest, &error.to_string()))?;
    if !text.is_complete() {
        return Err(refuse(Status::PayloadTooLarge, "is too large"));
    }
    parse(&text)
}

/// Reads JSON and names the field that is wrong.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Refusal> {
    let mut json = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let problem = error.inner().to_string();
        let named = problem
            .strip_prefix("missing field `")
            .and_then(|rest| rest.split('`').next());
        let field = match (path.as_str(), named) {
            (".", Some(named)) => named.to_owned(),
            (path, Some(named)) => format!("{path}.{named}"),
            (".", None) => "body".to_owned(),
            (path, None) => path.to_owned(),
        };
        let allowed = "what schema/chervilfall.schema.json says of this field";
        Refusal::field(&field, &problem, allowed)
    })
}
