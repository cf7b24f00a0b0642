//! What all stand-ins share: a server on loopback and a token.

use std::net::SocketAddr;

use rocket::config::LogLevel;
use rocket::data::{Limits, ToByteUnit};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{Build, Config, Rocket};

/// Where a stand-in listens, and the token that it asks for.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Address on loopback.
    pub listen: SocketAddr,
    /// Token of the system under test.
    pub token: String,
}

/// Why a stand-in can't serve.
#[derive(Debug)]
pub struct ServeError(String);

impl ServeError {
    pub(crate) fn of(error: &impl std::fmt::Display) -> Self {
        Self(error.to_string())
    }
}

impl std::fmt::Display for ServeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the stand-in can't serve: {}", self.0)
    }
}

impl std::error::Error for ServeError {}

/// The token that every call must carry.
#[derive(Debug)]
struct Token(String);

/// Somebody with the token.
#[derive(Debug)]
pub(crate) struct Known;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Known {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let header = request.headers().get_one("Authorization");
        let offered = header.and_then(|value| value.strip_prefix("Bearer "));
        let token = request.rocket().state::<Token>();
        match (offered, token) {
            (Some(offered), Some(token)) if offered == token.0 => Outcome::Success(Self),
            _ => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

/// Returns a server without routes.
pub(crate) fn build(settings: &ServerSettings) -> Rocket<Build> {
    let limits = Limits::default()
        .limit("json", 64.mebibytes())
        .limit("string", 64.mebibytes());
    let config = Config {
        address: settings.listen.ip(),
        port: settings.listen.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        limits,
        ..Config::release_default()
    };
    rocket::custom(config).manage(Token(settings.token.clone()))
}

/// Serves until the process is asked to stop.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub async fn serve(rocket: Rocket<Build>) -> Result<(), ServeError> {
    rocket
        .launch()
        .await
        .map(|_| ())
        .map_err(|error| ServeError(error.to_string()))
}
