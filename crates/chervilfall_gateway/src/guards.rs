//! Guards of requests: tokens and the bound on concurrent requests.

use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use tokio::sync::OwnedSemaphorePermit;

use crate::refusal::Refusal;
use crate::service::Shared;

/// What the guards tell the catchers of a refused request.
#[derive(Debug, Default)]
pub(crate) struct Noted(std::sync::Mutex<Option<Refusal>>);

/// Keeps a refusal for the catcher that answers the request.
pub(crate) fn note_refusal(request: &Request<'_>, refusal: &Refusal) {
    let noted = request.local_cache(Noted::default);
    if let Ok(mut slot) = noted.0.lock() {
        *slot = Some(refusal.clone());
    }
}

/// Returns the refusal that a guard kept.
pub(crate) fn noted_refusal(request: &Request<'_>) -> Option<Refusal> {
    let noted = request.local_cache(Noted::default);
    noted.0.lock().ok()?.take()
}

/// One of the requests that may be served at a time.
#[derive(Debug)]
pub(crate) struct Permit(#[allow(dead_code)] OwnedSemaphorePermit);

/// Somebody with the token of callers or of operators.
#[derive(Debug)]
pub(crate) struct Caller(#[allow(dead_code)] Permit);

/// Somebody with the token of operators.
#[derive(Debug)]
pub(crate) struct Operator(#[allow(dead_code)] Permit);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        guard(request, |shared, token| {
            // Both are compared always, so that the time does not tell which one matched.
            shared.caller.matches(token) | shared.operator.matches(token)
        })
        .map(Self)
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        guard(request, |shared, token| shared.operator.matches(token)).map(Self)
    }
}

fn guard(request: &Request<'_>, allows: impl Fn(&Shared, &str) -> bool) -> Outcome<Permit, ()> {
    let Some(shared) = request.rocket().state::<Shared>() else {
        return Outcome::Error((Status::InternalServerError, ()));
    };
    let header = request.headers().get_one("Authorization");
    let token = header.and_then(|value| value.strip_prefix("Bearer "));
    if !token.is_some_and(|token| allows(shared, token)) {
        let problem = "is missing or not allowed to do this";
        let refusal = Refusal::new(
            Status::Unauthorized,
            "Authorization",
            problem,
            "Bearer and the token of callers, or of operators",
        );
        return refuse(request, &refusal);
    }
    if let Ok(permit) = shared.permits.clone().try_acquire_owned() {
        return Outcome::Success(Permit(permit));
    }
    let allowed = format!("{} at a time", shared.limits.max_concurrent);
    refuse(request, &Refusal::busy(&allowed))
}

fn refuse<T>(request: &Request<'_>, refusal: &Refusal) -> Outcome<T, ()> {
    note_refusal(request, refusal);
    Outcome::Error((refusal.status, ()))
}
