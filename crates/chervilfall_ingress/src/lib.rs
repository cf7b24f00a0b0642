//! Serves callers by HTTP/1.1, with limits on what all their connections hold together.
//!
//! A limit on one request does not protect a process: what ends it is the sum over all connections.
//! So connections are counted against one limit, and bytes of bodies are reserved from one budget
//! before they are kept. If either is used up, the connection goes that has kept the process waiting
//! the longest, so that callers whose requests arrive whole are served beside a crowd that stalls.

mod body;
mod client_stream;
mod connection;
mod connections;
mod eviction;
mod limits;
mod server;

pub use body::{BodyError, HeldBody, RequestBody};
pub use connections::{NoMemory, Reservation};
pub use limits::{ProcessLimits, RequestLimits};
pub use server::{Ingress, RequestHandler, Response, ServerOptions};
