//! Settings of the daemon: [`Options`] is what YAML says, all optional; [`Settings`] is what code
//! uses, checked.

mod docs;
mod error;
mod group;
mod groups;
mod options;
mod settings;

pub use docs::{markdown, FieldDoc};
pub use error::SettingsError;
pub use groups::{
    AgentSettings, LedgerSettings, LinkTimings, PlatformTimings, RequestSettings, RpcLimits,
    SchedulingSettings, StopSettings,
};
pub use options::{LogFormat, LogLevel, Options, Role};
pub use settings::{
    AgentAccess, LinkAccess, LogSettings, PeerAccess, PlatformAccess, RpcAccess, Settings,
};
