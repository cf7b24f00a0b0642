//! The gateway as a service.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use chervilfall_auth::Secret;
use chervilfall_control::Control;
use chervilfall_guard::{GuardResponses, RequestGuard, RequestGuardSettings};
use chervilfall_kernel::{Directory, MissingService, Service};
use chervilfall_settings::RpcLimits;
use chervilfall_telemetry::MetricsHandle;
use chervilfall_types::EntryId;
use rocket::config::{LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use rocket::http::Status;
use rocket::{Config, Shutdown};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Mutex, Semaphore};
use tokio::task::JoinHandle;

use crate::refusal::Refusal;
use crate::routes;

/// Time that requests in flight have to end after the last one was taken, in seconds; the control
/// thread has ended them before.
const GRACE_S: u32 = 5;

/// Settings of the gateway.
#[derive(Debug)]
pub struct GatewaySettings {
    /// Number of this instance.
    pub entry: EntryId,
    /// Where requests are listened for.
    pub listen: SocketAddr,
    /// Token of callers.
    pub caller: Secret,
    /// Token of operators.
    pub operator: Secret,
    /// Limits.
    pub limits: RpcLimits,
    /// Metrics of this process.
    pub meter: MetricsHandle,
}

/// Why the gateway can't start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A service that it needs does not run.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// The address for requests can't be listened at.
    #[error("can't listen for requests at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Rocket can't start.
    #[error("can't serve requests: {0}")]
    Rocket(String),
}

/// What the routes share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) entry: EntryId,
    pub(crate) control: Arc<Control>,
    pub(crate) caller: Secret,
    pub(crate) operator: Secret,
    pub(crate) limits: RpcLimits,
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) meter: MetricsHandle,
}

/// The running gateway.
#[derive(Debug)]
pub struct Gateway {
    control: Arc<Control>,
    shutdown: Shutdown,
    server: Mutex<Option<Server>>,
}

/// What serves requests: Rocket on loopback, and the guard at the public address.
#[derive(Debug)]
struct Server {
    guard: RequestGuard,
    rocket: JoinHandle<()>,
}

impl Service for Gateway {
    const NAME: &'static str = "gateway";

    type Settings = GatewaySettings;
    type Error = GatewayError;

    async fn open(settings: GatewaySettings, directory: &Directory) -> Result<Self, GatewayError> {
        let control = directory.find::<Control>()?;
        let address = settings.listen;
        let listening = |source| GatewayError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listening)?;
        let config = Config {
            address: Ipv4Addr::LOCALHOST.into(),
            port: 0,
            log_level: LogLevel::Off,
            cli_colors: false,
            shutdown: ShutdownConfig {
                ctrlc: false,
                #[cfg(unix)]
                signals: std::collections::HashSet::new(),
                grace: GRACE_S,
                mercy: 1,
                force: false,
                ..ShutdownConfig::default()
            },
            ..Config::release_default()
        };
        let limits = settings.limits.clone();
        let permits = Arc::new(Semaphore::new(settings.limits.max_concurrent));
        let shared = Shared {
            entry: settings.entry,
            control: Arc::clone(&control),
            caller: settings.caller,
            operator: settings.operator,
            limits: settings.limits,
            permits,
            meter: settings.meter,
        };
        let (tell_port, port) = oneshot::channel();
        let rocket = rocket::custom(config)
            .manage(shared)
            .mount("/", routes::all())
            .register("/", routes::catchers())
            .attach(AdHoc::on_liftoff("port", |rocket| {
                Box::pin(async move {
                    // Nobody waits any more if the gateway could not be opened.
                    let _ = tell_port.send(rocket.config().port);
                })
            }))
            .ignite()
            .await
            .map_err(|error| GatewayError::Rocket(error.to_string()))?;
        let shutdown = rocket.shutdown();
        let rocket = tokio::spawn(async move {
            if let Err(error) = rocket.launch().await {
                log::error!("gateway: Can't serve requests: {error}.");
            }
        });
        let port = port
            .await
            .map_err(|_| GatewayError::Rocket("it ended at once".to_owned()))?;
        let guard = RequestGuardSettings {
            server: (Ipv4Addr::LOCALHOST, port).into(),
            header_ms: limits.header_ms,
            body_ms: limits.body_ms,
            responses: responses(&limits),
        };
        let guard = RequestGuard::spawn(listener, guard).map_err(listening)?;
        Ok(Self {
            control,
            shutdown,
            server: Mutex::new(Some(Server { guard, rocket })),
        })
    }

    /// Stops taking requests once those in flight have their answers.
    async fn stop(&self) {
        self.control.stop().await;
        self.shutdown.clone().notify();
        if let Some(server) = self.server.lock().await.take() {
            // The server's own error has been logged.
            let (_, ()) = tokio::join!(server.rocket, server.guard.stop());
        }
    }
}

/// Returns the guard's own responses.
fn responses(limits: &RpcLimits) -> GuardResponses {
    let slow = |field, time_ms| {
        let allowed = format!("within {time_ms} ms");
        whole_response(Status::RequestTimeout, field, "came too slowly", &allowed)
    };
    let header_too_large = Status::RequestHeaderFieldsTooLarge;
    GuardResponses {
        header_too_slow: slow("header", limits.header_ms),
        body_too_slow: slow("body", limits.body_ms),
        header_too_large: whole_response(header_too_large, "header", "is too large", "64 KiB"),
        length_required: whole_response(
            Status::LengthRequired,
            "Transfer-Encoding",
            "is not taken",
            "a body with Content-Length",
        ),
    }
}

/// Returns a refusal as the bytes of a response that ends its connection.
fn whole_response(status: Status, field: &str, problem: &str, allowed: &str) -> Vec<u8> {
    let refusal = Refusal::new(status, field, problem, allowed);
    let body = rocket::serde::json::to_string(&refusal.error).unwrap_or_default();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n"
    );
    (head + &body).into_bytes()
}
