//! Serves callers by HTTP/1.1, with limits on what all their connections hold together.
//!
//! A limit on one request does not protect a process: what ends it is the sum over all connections.
//! So connections are counted against one limit. If it is reached, the connection is closed that has
//! kept the process waiting the longest, so that callers whose requests arrive whole are served beside
//! a crowd that stalls.

mod body;
mod client_stream;
mod connection;
mod connections;
mod eviction;
mod limits;
mod server;

pub use body::{BodyError, RequestBody};
pub use limits::{ProcessLimits, RequestLimits};
pub use server::{Ingress, RequestHandler, Response, ServerOptions};
