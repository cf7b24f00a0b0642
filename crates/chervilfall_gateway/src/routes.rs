//! The routes of the RPC.

use std::io::Cursor;

use chervilfall_control::CallError;
use chervilfall_core::{RpcCall, RpcReply};
use chervilfall_schema as rpc;
use chervilfall_types::ExplainEvent;
use rocket::http::{ContentType, Status};
use rocket::response::Responder;
use rocket::serde::json::Json;
use rocket::{catch, delete, get, post, put, Catcher, Request, Response, Route, State};

use crate::body::Body;
use crate::convert;
use crate::guards::{noted_refusal, Caller, Operator};
use crate::refusal::{retry_after, Refusal};
use crate::service::Shared;

/// Returns all routes.
pub(crate) fn all() -> Vec<Route> {
    rocket::routes![
        submit,
        fetch,
        cancel,
        explain,
        list,
        status,
        configuration,
        configure,
        burn,
        healthz,
        readyz,
        metrics_text
    ]
}

/// Returns the catcher of everything that no route answers.
pub(crate) fn catchers() -> Vec<Catcher> {
    rocket::catchers![refused]
}

/// An answer and the status that says the same.
#[derive(Debug)]
struct Reply(rpc::Answer);

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let body = rocket::serde::json::to_string(&self.0).unwrap_or_default();
        let mut response = Response::build();
        response
            .status(status_of(&self.0))
            .header(ContentType::JSON)
            .sized_body(body.len(), Cursor::new(body));
        if let Some(retry_after_ms) = self.0.retry_after_ms {
            response.header(retry_after(retry_after_ms));
        }
        response.ok()
    }
}

const fn status_of(answer: &rpc::Answer) -> Status {
    use rpc::Reason;
    match (answer.phase, answer.reason) {
        (rpc::Phase::Unknown, _) => Status::NotFound,
        (rpc::Phase::Queued | rpc::Phase::Accepted | rpc::Phase::Running, _) => Status::Accepted,
        (rpc::Phase::Refused, Some(Reason::Impossible | Reason::UnknownService)) => {
            Status::UnprocessableEntity
        }
        (rpc::Phase::Refused, Some(Reason::DuplicateKey)) => Status::Conflict,
        (rpc::Phase::Refused, Some(Reason::Deadline)) => Status::GatewayTimeout,
        (rpc::Phase::Refused, _) => Status::ServiceUnavailable,
        (rpc::Phase::Done | rpc::Phase::Cancelled, _) => Status::Ok,
    }
}

/// Calls the control thread; a call that it did not take surely had no effect.
async fn call(shared: &Shared, call: RpcCall) -> Result<RpcReply, Refusal> {
    shared
        .control
        .call(call)
        .await
        .map_err(|error| match error {
            CallError::Busy => Refusal::busy("less than this instance can serve"),
            CallError::Ended => Refusal::new(
                Status::BadGateway,
                "request",
                "this instance ended before it answered; fetch the answer by key from another",
                "any other entry instance",
            ),
        })
}

fn unexpected() -> Refusal {
    Refusal::new(
        Status::InternalServerError,
        "request",
        "was answered with something else",
        "",
    )
}

async fn answer(shared: &Shared, wanted: RpcCall) -> Result<Reply, Refusal> {
    match call(shared, wanted).await? {
        RpcReply::Answer(answer) => Ok(Reply(convert::answer(answer, shared.entry))),
        _ => Err(unexpected()),
    }
}

#[post("/v1/requests", data = "<body>")]
async fn submit(
    _caller: Caller,
    shared: &State<Shared>,
    body: Body<rpc::SubmitRequest>,
) -> Result<Reply, Refusal> {
    let wait_ms = bounded_wait(shared, body.0.wait_ms)?;
    let request = convert::request(&shared.limits, body.0)?;
    let class = request.work.class.name();
    metrics::counter!("chervilfall_requests_total", "class" => class).increment(1);
    answer(shared, RpcCall::Submit { request, wait_ms }).await
}

fn bounded_wait(shared: &Shared, wait_ms: Option<u64>) -> Result<u64, Refusal> {
    let wait_ms = wait_ms.unwrap_or(0);
    if wait_ms > shared.limits.max_wait_ms {
        let allowed = format!("0 to {}", shared.limits.max_wait_ms);
        return Err(Refusal::field("wait_ms", "is too long", &allowed));
    }
    Ok(wait_ms)
}

#[get("/v1/requests/<key>?<wait_ms>")]
async fn fetch(
    _caller: Caller,
    shared: &State<Shared>,
    key: &str,
    wait_ms: Option<u64>,
) -> Result<Reply, Refusal> {
    let wait_ms = bounded_wait(shared, wait_ms)?;
    let key = convert::key(key)?;
    answer(shared, RpcCall::Fetch { key, wait_ms }).await
}

#[delete("/v1/requests/<key>")]
async fn cancel(_caller: Caller, shared: &State<Shared>, key: &str) -> Result<Reply, Refusal> {
    answer(shared, RpcCall::Cancel(convert::key(key)?)).await
}

#[get("/v1/requests/<key>/explanation")]
async fn explain(
    _caller: Caller,
    shared: &State<Shared>,
    key: &str,
) -> Result<Json<rpc::Explanation>, Refusal> {
    let wanted = RpcCall::Explain(convert::key(key)?);
    match call(shared, wanted).await? {
        RpcReply::Explanation {
            key,
            events,
            known: true,
        } => {
            let event = |event: ExplainEvent| rpc::ExplainEvent {
                at_ms: event.at_ms,
                event: event.event,
            };
            Ok(Json(rpc::Explanation {
                key: key.as_str().to_owned(),
                events: events.into_iter().map(event).collect(),
            }))
        }
        RpcReply::Explanation { .. } => Err(Refusal::new(
            Status::NotFound,
            "key",
            "is not known to any entry instance that can be reached",
            "the key of a request",
        )),
        _ => Err(unexpected()),
    }
}

#[get("/v1/requests")]
async fn list(
    _operator: Operator,
    shared: &State<Shared>,
) -> Result<Json<rpc::RequestList>, Refusal> {
    match call(shared, RpcCall::List).await? {
        RpcReply::Requests(reports) => Ok(Json(convert::requests(reports))),
        _ => Err(unexpected()),
    }
}

#[get("/v1/status")]
async fn status(
    _operator: Operator,
    shared: &State<Shared>,
) -> Result<Json<rpc::InstanceStatus>, Refusal> {
    match call(shared, RpcCall::Status).await? {
        RpcReply::Status(report) => Ok(Json(convert::status(&report))),
        _ => Err(unexpected()),
    }
}

#[get("/v1/configuration")]
async fn configuration(
    _operator: Operator,
    shared: &State<Shared>,
) -> Result<Json<rpc::Configuration>, Refusal> {
    match call(shared, RpcCall::Configuration).await? {
        RpcReply::Configuration(document) => Ok(Json(convert::configuration(&document))),
        _ => Err(unexpected()),
    }
}

/// What became of a change of the configuration.
#[derive(Debug, rocket::Responder)]
enum Changed {
    #[response(status = 200)]
    InForce(Json<rpc::Configuration>),
    #[response(status = 409)]
    Lost(Json<rpc::ConfigurationConflict>),
}

#[put("/v1/configuration", data = "<body>")]
async fn configure(
    _operator: Operator,
    shared: &State<Shared>,
    body: Body<rpc::Configuration>,
) -> Result<Changed, Refusal> {
    let document = Box::new(convert::document(&body.0)?);
    match call(shared, RpcCall::Configure(document)).await? {
        RpcReply::Configuration(document) => {
            Ok(Changed::InForce(Json(convert::configuration(&document))))
        }
        RpcReply::Conflict { offered, current } => {
            Ok(Changed::Lost(Json(rpc::ConfigurationConflict {
                offered_version: offered,
                current_version: current,
                message: format!("version {current} is in force; read it and change that"),
            })))
        }
        RpcReply::StoreUnavailable {
            may_have_run,
            retry_after_ms,
        } => {
            let mut refusal = Refusal::new(
                Status::ServiceUnavailable,
                "version",
                "can't be changed while the table is away",
                "read the version in force, then try again",
            );
            refusal.error.retry_after_ms = Some(retry_after_ms);
            if may_have_run {
                refusal.error.verdict = rpc::Verdict::MayHaveRun;
            }
            Err(refusal)
        }
        _ => Err(unexpected()),
    }
}

#[get("/v1/burn")]
async fn burn(
    _operator: Operator,
    shared: &State<Shared>,
) -> Result<Json<rpc::BurnReport>, Refusal> {
    match call(shared, RpcCall::Burn).await? {
        RpcReply::Burn(rows) => Ok(Json(convert::burn(rows, shared.entry))),
        _ => Err(unexpected()),
    }
}

#[get("/healthz")]
const fn healthz() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(shared: &State<Shared>) -> (Status, &'static str) {
    if shared.control.health().ready {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/metrics")]
fn metrics_text(shared: &State<Shared>) -> String {
    shared.meter.render()
}

/// Answers what no route answered: a guard's refusal, or an unknown route.
#[catch(default)]
fn refused(status: Status, request: &Request<'_>) -> Refusal {
    noted_refusal(request).unwrap_or_else(|| {
        let problem = status.reason_lossy();
        Refusal::new(status, "request", problem, "see docs/RPC.md")
    })
}
