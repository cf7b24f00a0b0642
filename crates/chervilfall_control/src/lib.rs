//! The control thread: feeds the decision core and carries out its actions.

mod clients;
mod core_settings;
mod mono;
mod service;
mod shell;

pub use clients::{Clients, ClientsError, ClientsSettings};
pub use core_settings::core_settings;
pub use service::{CallError, Control, ControlError, ControlSettings, Health};
