//! The pure decision core of an entry instance: routing, ownership, placement, ledger and
//! configuration.
//!
//! [`Engine::handle`] turns the time and an [`Event`] into [`Action`]s. The core does no I/O,
//! reads no clock, starts no thread and draws random numbers only from the seed that it is given.

mod action;
mod burn;
mod configuration;
mod context;
mod directory;
mod engine;
mod event;
mod front;
mod ledger;
mod members;
mod owner;
mod policy;
mod remote_clock;
mod rpc;
mod settings;
mod timers;

pub use action::{Action, AgentCall, AgentOrder, StoreCall, StoreOrder};
pub use burn::BurnRow;
pub use configuration::{ConfigurationDocument, Objective, Quota};
pub use engine::Engine;
pub use event::{AgentFailure, AgentReply, Event, StoreFailure, StoreReply};
pub use owner::EndpointKey;
pub use rpc::{
    EndpointPhase, EndpointReport, InstanceReport, PeerReport, RequestReport, RpcCall, RpcReply,
    Ticket,
};
pub use settings::{CoreSettings, Identity, PeerSettings};
