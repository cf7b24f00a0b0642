//! Serves callers by HTTP/1.1, with limits on the size and the time of their requests.

mod body;
mod client_stream;
mod connection;
mod connections;
mod limits;
mod server;

pub use body::{BodyError, RequestBody};
pub use limits::RequestLimits;
pub use server::{Ingress, RequestHandler, Response, ServerOptions};
