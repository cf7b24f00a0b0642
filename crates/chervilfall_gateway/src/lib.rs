//! The RPC over HTTP.

mod body;
mod convert;
mod guards;
mod refusal;
mod routes;
mod service;

pub use service::{Gateway, GatewayError, GatewaySettings};
