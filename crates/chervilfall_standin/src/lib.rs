//! Small stand-ins for the platform and for endpoints, with faults that can be set at run time.

mod endpoints;
mod faults;
mod members;
mod objects;
mod relay;
mod server;
mod table;

pub use endpoints::{open_endpoints, EndpointHost, EndpointLoad, EndpointsSettings};
pub use faults::PlatformFaults;
pub use members::{open_members, MemberChange};
pub use objects::open_objects;
pub use relay::{open_relay, RelayFaults, Route};
pub use server::{serve, ServeError, ServerSettings};
pub use table::{open_table, TableLimits};
