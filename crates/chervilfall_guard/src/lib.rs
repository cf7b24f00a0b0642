//! Bounds the time for a request's header and body in front of an HTTP server that does not.
//!
//! Rocket 0.5 switches off the header timeout of the library below it and offers no setting, and it
//! reads the first bytes of a body before a route can bound anything. The guard takes connections
//! in its place and passes their bytes on unchanged.

mod connection;
mod guard;
mod progress;

pub use guard::{GuardResponses, RequestGuard, RequestGuardSettings};
pub use progress::{Due, Refused, RequestProgress};
