//! What the YAML file says.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::docs::FieldDoc;
use crate::groups::{
    AgentOptions, LedgerOptions, LinkOptions, PlatformOptions, RequestOptions, RpcOptions,
    SchedulingOptions, StopOptions,
};

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests, owns endpoints and holds shards.
    #[default]
    Entry,
    /// Takes requests only.
    Front,
}

/// Least level of log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// And warnings.
    Warn,
    /// And the usual course of things.
    #[default]
    Info,
    /// And details.
    Debug,
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}

/// Another entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerOptions {
    /// Its number.
    pub entry: u32,
    /// Its failure domain.
    pub domain: String,
    /// Address of its link listener.
    pub address: SocketAddr,
}

/// Log lines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogOptions {
    /// Least level that is written.
    pub level: Option<LogLevel>,
    /// Form of the lines.
    pub format: Option<LogFormat>,
    /// File to write to; the standard error if absent.
    pub file: Option<PathBuf>,
}

/// All options of the daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// What the instance does.
    pub role: Option<Role>,
    /// Number of the instance, unique in its cell.
    pub entry: Option<u32>,
    /// Its failure domain.
    pub domain: Option<String>,
    /// Links to other instances.
    pub links: LinkOptions,
    /// The RPC.
    pub rpc: RpcOptions,
    /// The platform.
    pub platform: PlatformOptions,
    /// The endpoints' agents.
    pub agents: AgentOptions,
    /// Shards and their log.
    pub ledger: LedgerOptions,
    /// Requests.
    pub requests: RequestOptions,
    /// Queues and tasks.
    pub scheduling: SchedulingOptions,
    /// Planned stops.
    pub stop: StopOptions,
    /// Log lines.
    pub log: LogOptions,
}

/// Shortens the rows below.
const fn field(
    group: &'static str,
    name: &'static str,
    default: &'static str,
    allowed: &'static str,
    doc: &'static str,
) -> FieldDoc {
    FieldDoc {
        group,
        name,
        default,
        allowed,
        doc,
    }
}

/// Reference of the settings that are not numbers.
#[rustfmt::skip]
pub(crate) const PLAIN_FIELDS: &[FieldDoc] = &[
    field("", "role", "entry", "`entry`, `front`", "What the instance does: an entry takes requests, owns endpoints and holds shards; a front takes requests only."),
    field("", "entry", "", "a number", "Number of the instance, unique in its cell."),
    field("", "domain", "", "a name", "Failure domain of the instance."),
    field("log", "level", "info", "`error`, `warn`, `info`, `debug`", "Least level of log lines that are written."),
    field("log", "format", "text", "`text`, `json`", "Form of log lines."),
    field("log", "file", "standard error", "a path", "File that log lines go to."),
];
