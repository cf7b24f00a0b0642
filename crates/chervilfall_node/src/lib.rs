//! A node of a cluster scheduler without dedicated control machines.
//!
//! Every node accepts callers' requests. One node holds the group: it runs the planner, and the
//! others forward requests to it over links. All durable state is in the store; a node persists
//! nothing. The platform is accessed through the traits in [`ports`].

mod clock;
mod configuration;
mod control;
mod front;
mod keys;
mod leadership;
mod link;
mod load;
mod node;
mod orders;
mod planned_stop;
pub mod ports;
mod routes;
mod runtime_thread;
mod settings;
mod wait_bounds;
mod watch;

pub use configuration::ConfigurationState;
pub use front::{Front, FrontAnswer};
pub use keys::{KeyDigest, KeyRing};
pub use load::{ControlLoad, LoadStatus, WorkKind};
pub use node::{Node, NodeError};
pub use planned_stop::StopTimes;
pub use routes::{RequestLimits, Route, RouteTable};
pub use settings::{changed_fields, read_text, Settings, SettingsError, TightBound, Timings};
pub use wait_bounds::WaitBounds;
// Public for the test of a reading that begins with its process.
#[doc(hidden)]
pub use watch::readings::{HedgedReads, ReadEvent, ReadingTimes};
