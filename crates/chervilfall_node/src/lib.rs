//! A node of a fleet without machines of its own for control.
//!
//! Every node takes callers' requests. One of them holds the group: it runs the planner, and the
//! others pass requests to it over links. What lasts lies in the store; a node keeps nothing.
//! The platform's side is reached through the traits of [`ports`].

mod clock;
mod configuration;
mod control;
mod front;
mod keys;
mod leadership;
mod link;
mod load;
mod node;
pub mod ports;
mod routes;
mod settings;
mod wait_bounds;
mod watch;

pub use configuration::ConfigurationState;
pub use front::{Front, FrontAnswer};
pub use keys::{KeyDigest, KeyRing};
pub use load::{ControlLoad, LoadStatus};
pub use node::{Node, NodeError};
pub use routes::{Route, RouteTable};
pub use settings::{changed_fields, read_text, Settings, SettingsError, Timings};
pub use wait_bounds::WaitBounds;
