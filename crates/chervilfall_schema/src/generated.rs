//! Types of the RPC.
//!
//! Generated from `schema/chervilfall.schema.json` by `chervilfall-dev generate`; not edited by
//! hand.

#![allow(clippy::all, clippy::pedantic, missing_docs)]

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///The answer to a request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The answer to a request.",
///  "type": "object",
///  "required": [
///    "key",
///    "phase",
///    "served_by"
///  ],
///  "properties": {
///    "endpoint": {
///      "description": "Where the work ran last.",
///      "type": "string"
///    },
///    "key": {
///      "type": "string"
///    },
///    "message": {
///      "description": "The reason in words.",
///      "type": "string"
///    },
///    "phase": {
///      "$ref": "#/definitions/Phase"
///    },
///    "reason": {
///      "$ref": "#/definitions/Reason"
///    },
///    "result": {
///      "description": "What the work returned.",
///      "type": "string"
///    },
///    "retry_after_ms": {
///      "description": "When to come back, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "served_by": {
///      "description": "Number of the entry instance that answered.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "tasks": {
///      "$ref": "#/definitions/TaskCounts"
///    },
///    "verdict": {
///      "$ref": "#/definitions/Verdict"
///    },
///    "waited_ms": {
///      "description": "Time from submission to the first start, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    ///Where the work ran last.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub endpoint: ::std::option::Option<::std::string::String>,
    pub key: ::std::string::String,
    ///The reason in words.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub message: ::std::option::Option<::std::string::String>,
    pub phase: Phase,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub reason: ::std::option::Option<Reason>,
    ///What the work returned.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub result: ::std::option::Option<::std::string::String>,
    ///When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    ///Number of the entry instance that answered.
    pub served_by: u64,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub tasks: ::std::option::Option<TaskCounts>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub verdict: ::std::option::Option<Verdict>,
    ///Time from submission to the first start, in milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub waited_ms: ::std::option::Option<u64>,
}
///Burn of every objective as one entry instance saw it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Burn of every objective as one entry instance saw it.",
///  "type": "object",
///  "required": [
///    "entry",
///    "rows"
///  ],
///  "properties": {
///    "entry": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "rows": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/BurnRow"
///      }
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    pub entry: u64,
    pub rows: ::std::vec::Vec<BurnRow>,
}
///Burn of one objective.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Burn of one objective.",
///  "type": "object",
///  "required": [
///    "bad",
///    "budget_left_permille",
///    "burn_long_permille",
///    "burn_short_permille",
///    "class",
///    "page",
///    "requests"
///  ],
///  "properties": {
///    "bad": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "budget_left_permille": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "burn_long_permille": {
///      "description": "Burn rate over the long window, in thousandths of the allowed rate.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "burn_short_permille": {
///      "description": "Burn rate over the short window, in thousandths of the allowed rate.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "class": {
///      "type": "string"
///    },
///    "page": {
///      "type": "boolean"
///    },
///    "requests": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BurnRow {
    pub bad: u64,
    pub budget_left_permille: u64,
    ///Burn rate over the long window, in thousandths of the allowed rate.
    pub burn_long_permille: u64,
    ///Burn rate over the short window, in thousandths of the allowed rate.
    pub burn_short_permille: u64,
    pub class: ::std::string::String,
    pub page: bool,
    pub requests: u64,
}
///One interactive request to a service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One interactive request to a service.",
///  "type": "object",
///  "required": [
///    "idempotent",
///    "service"
///  ],
///  "properties": {
///    "idempotent": {
///      "description": "Whether the request may run more than once.",
///      "type": "boolean"
///    },
///    "payload": {
///      "description": "Opaque input.",
///      "type": "string"
///    },
///    "run_ms": {
///      "description": "Declared run time, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "service": {
///      "description": "Name of the service.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallWork {
    ///Whether the request may run more than once.
    pub idempotent: bool,
    ///Opaque input.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub payload: ::std::option::Option<::std::string::String>,
    ///Declared run time, in milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub run_ms: ::std::option::Option<u64>,
    ///Name of the service.
    pub service: ::std::string::String,
}
///What operators decide; changed by compare-and-set.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What operators decide; changed by compare-and-set.",
///  "type": "object",
///  "required": [
///    "version"
///  ],
///  "properties": {
///    "drained": {
///      "description": "Endpoints that take no new work.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "objectives": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Objective"
///      }
///    },
///    "quotas": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Quota"
///      }
///    },
///    "version": {
///      "description": "Version of this configuration; the version to replace when it is sent.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    ///Endpoints that take no new work.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub drained: ::std::vec::Vec<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub objectives: ::std::vec::Vec<Objective>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub quotas: ::std::vec::Vec<Quota>,
    ///Version of this configuration; the version to replace when it is sent.
    pub version: u64,
}
///A change that lost a race.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A change that lost a race.",
///  "type": "object",
///  "required": [
///    "current_version",
///    "message",
///    "offered_version"
///  ],
///  "properties": {
///    "current_version": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "message": {
///      "type": "string"
///    },
///    "offered_version": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationConflict {
    pub current_version: u64,
    pub message: ::std::string::String,
    pub offered_version: u64,
}
///Asks that an endpoint takes no new work.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks that an endpoint takes no new work.",
///  "type": "object",
///  "required": [
///    "drain",
///    "endpoint"
///  ],
///  "properties": {
///    "drain": {
///      "description": "False takes the drain back.",
///      "type": "boolean"
///    },
///    "endpoint": {
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    ///False takes the drain back.
    pub drain: bool,
    pub endpoint: ::std::string::String,
}
///An endpoint as its owner sees it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An endpoint as its owner sees it.",
///  "type": "object",
///  "required": [
///    "attempts",
///    "capacity",
///    "domain",
///    "name",
///    "rack",
///    "reserved",
///    "state"
///  ],
///  "properties": {
///    "attempts": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "capacity": {
///      "$ref": "#/definitions/Resources"
///    },
///    "domain": {
///      "type": "string"
///    },
///    "epoch": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "name": {
///      "type": "string"
///    },
///    "rack": {
///      "type": "string"
///    },
///    "reserved": {
///      "$ref": "#/definitions/Resources"
///    },
///    "state": {
///      "description": "State of an endpoint.",
///      "type": "string",
///      "enum": [
///        "unowned",
///        "claiming",
///        "syncing",
///        "owned",
///        "draining",
///        "unreachable"
///      ]
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointStatus {
    pub attempts: u64,
    pub capacity: Resources,
    pub domain: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub epoch: ::std::option::Option<u64>,
    pub name: ::std::string::String,
    pub rack: ::std::string::String,
    pub reserved: Resources,
    ///State of an endpoint.
    pub state: EndpointStatusState,
}
///State of an endpoint.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "State of an endpoint.",
///  "type": "string",
///  "enum": [
///    "unowned",
///    "claiming",
///    "syncing",
///    "owned",
///    "draining",
///    "unreachable"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum EndpointStatusState {
    #[serde(rename = "unowned")]
    Unowned,
    #[serde(rename = "claiming")]
    Claiming,
    #[serde(rename = "syncing")]
    Syncing,
    #[serde(rename = "owned")]
    Owned,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "unreachable")]
    Unreachable,
}
impl ::std::fmt::Display for EndpointStatusState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Unowned => f.write_str("unowned"),
            Self::Claiming => f.write_str("claiming"),
            Self::Syncing => f.write_str("syncing"),
            Self::Owned => f.write_str("owned"),
            Self::Draining => f.write_str("draining"),
            Self::Unreachable => f.write_str("unreachable"),
        }
    }
}
impl ::std::str::FromStr for EndpointStatusState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "unowned" => Ok(Self::Unowned),
            "claiming" => Ok(Self::Claiming),
            "syncing" => Ok(Self::Syncing),
            "owned" => Ok(Self::Owned),
            "draining" => Ok(Self::Draining),
            "unreachable" => Ok(Self::Unreachable),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EndpointStatusState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for EndpointStatusState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EndpointStatusState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One thing that happened to a request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One thing that happened to a request.",
///  "type": "object",
///  "required": [
///    "at_ms",
///    "event"
///  ],
///  "properties": {
///    "at_ms": {
///      "description": "Time since submission, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "event": {
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ExplainEvent {
    ///Time since submission, in milliseconds.
    pub at_ms: u64,
    pub event: ::std::string::String,
}
///What happened to a request, in order.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What happened to a request, in order.",
///  "type": "object",
///  "required": [
///    "events",
///    "key"
///  ],
///  "properties": {
///    "events": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ExplainEvent"
///      }
///    },
///    "key": {
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    pub events: ::std::vec::Vec<ExplainEvent>,
    pub key: ::std::string::String,
}
///Status of an entry instance.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Status of an entry instance.",
///  "type": "object",
///  "required": [
///    "config_age_ms",
///    "config_version",
///    "domain",
///    "endpoints",
///    "entry",
///    "peers",
///    "queued",
///    "ready",
///    "shards",
///    "stopping",
///    "store_reachable",
///    "uptime_ms"
///  ],
///  "properties": {
///    "config_age_ms": {
///      "description": "Time since the configuration was last confirmed, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "config_version": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "domain": {
///      "type": "string"
///    },
///    "endpoints": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/EndpointStatus"
///      }
///    },
///    "entry": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "peers": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/PeerStatus"
///      }
///    },
///    "queued": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "ready": {
///      "type": "boolean"
///    },
///    "shards": {
///      "type": "array",
///      "items": {
///        "type": "integer",
///        "format": "uint64",
///        "minimum": 0.0
///      }
///    },
///    "stopping": {
///      "type": "boolean"
///    },
///    "store_reachable": {
///      "type": "boolean"
///    },
///    "uptime_ms": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InstanceStatus {
    ///Time since the configuration was last confirmed, in milliseconds.
    pub config_age_ms: u64,
    pub config_version: u64,
    pub domain: ::std::string::String,
    pub endpoints: ::std::vec::Vec<EndpointStatus>,
    pub entry: u64,
    pub peers: ::std::vec::Vec<PeerStatus>,
    pub queued: u64,
    pub ready: bool,
    pub shards: ::std::vec::Vec<u64>,
    pub stopping: bool,
    pub store_reachable: bool,
    pub uptime_ms: u64,
}
///Tasks that run to their end.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tasks that run to their end.",
///  "type": "object",
///  "required": [
///    "idempotent",
///    "resources",
///    "tasks"
///  ],
///  "properties": {
///    "idempotent": {
///      "description": "Whether a task may be started again after an attempt that may have run.",
///      "type": "boolean"
///    },
///    "payload": {
///      "description": "Opaque input of every task.",
///      "type": "string"
///    },
///    "priority": {
///      "$ref": "#/definitions/Priority"
///    },
///    "resources": {
///      "$ref": "#/definitions/Resources"
///    },
///    "run_ms": {
///      "description": "Declared run time of one task, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "tasks": {
///      "description": "Number of tasks.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobWork {
    ///Whether a task may be started again after an attempt that may have run.
    pub idempotent: bool,
    ///Opaque input of every task.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub payload: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub priority: ::std::option::Option<Priority>,
    pub resources: Resources,
    ///Declared run time of one task, in milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub run_ms: ::std::option::Option<u64>,
    ///Number of tasks.
    pub tasks: ::std::num::NonZeroU64,
}
///A service-level objective of one workload class.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A service-level objective of one workload class.",
///  "type": "object",
///  "required": [
///    "class",
///    "success_permille",
///    "wait_ms"
///  ],
///  "properties": {
///    "class": {
///      "description": "Workload class.",
///      "type": "string",
///      "enum": [
///        "call",
///        "batch",
///        "gang",
///        "service"
///      ]
///    },
///    "success_permille": {
///      "description": "Share of requests that must succeed, in thousandths.",
///      "type": "integer",
///      "format": "uint64",
///      "maximum": 1000.0,
///      "minimum": 0.0
///    },
///    "wait_ms": {
///      "description": "Waiting time under which a request counts as good, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    ///Workload class.
    pub class: ObjectiveClass,
    ///Share of requests that must succeed, in thousandths.
    pub success_permille: u64,
    ///Waiting time under which a request counts as good, in milliseconds.
    pub wait_ms: ::std::num::NonZeroU64,
}
///Workload class.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Workload class.",
///  "type": "string",
///  "enum": [
///    "call",
///    "batch",
///    "gang",
///    "service"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ObjectiveClass {
    #[serde(rename = "call")]
    Call,
    #[serde(rename = "batch")]
    Batch,
    #[serde(rename = "gang")]
    Gang,
    #[serde(rename = "service")]
    Service,
}
impl ::std::fmt::Display for ObjectiveClass {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Call => f.write_str("call"),
            Self::Batch => f.write_str("batch"),
            Self::Gang => f.write_str("gang"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for ObjectiveClass {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "call" => Ok(Self::Call),
            "batch" => Ok(Self::Batch),
            "gang" => Ok(Self::Gang),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ObjectiveClass {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ObjectiveClass {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ObjectiveClass {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Another entry instance.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Another entry instance.",
///  "type": "object",
///  "required": [
///    "connected",
///    "domain",
///    "entry"
///  ],
///  "properties": {
///    "connected": {
///      "type": "boolean"
///    },
///    "domain": {
///      "type": "string"
///    },
///    "entry": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "queued": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerStatus {
    pub connected: bool,
    pub domain: ::std::string::String,
    pub entry: u64,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub queued: ::std::option::Option<u64>,
}
///Where a request stands.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Where a request stands.",
///  "type": "string",
///  "enum": [
///    "queued",
///    "accepted",
///    "running",
///    "done",
///    "refused",
///    "cancelled",
///    "unknown"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Phase {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "accepted")]
    Accepted,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "cancelled")]
    Cancelled,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Phase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Queued => f.write_str("queued"),
            Self::Accepted => f.write_str("accepted"),
            Self::Running => f.write_str("running"),
            Self::Done => f.write_str("done"),
            Self::Refused => f.write_str("refused"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Phase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "queued" => Ok(Self::Queued),
            "accepted" => Ok(Self::Accepted),
            "running" => Ok(Self::Running),
            "done" => Ok(Self::Done),
            "refused" => Ok(Self::Refused),
            "cancelled" => Ok(Self::Cancelled),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Phase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Phase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Phase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///How urgent a batch or gang job is.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "How urgent a batch or gang job is.",
///  "type": "string",
///  "enum": [
///    "urgent",
///    "normal",
///    "low"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Priority {
    #[serde(rename = "urgent")]
    Urgent,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "low")]
    Low,
}
impl ::std::fmt::Display for Priority {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Urgent => f.write_str("urgent"),
            Self::Normal => f.write_str("normal"),
            Self::Low => f.write_str("low"),
        }
    }
}
impl ::std::str::FromStr for Priority {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "low" => Ok(Self::Low),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Limit of one team.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Limit of one team.",
///  "type": "object",
///  "required": [
///    "team"
///  ],
///  "properties": {
///    "resources": {
///      "$ref": "#/definitions/Resources"
///    },
///    "team": {
///      "type": "string"
///    },
///    "weight": {
///      "description": "Share of the team against others.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub resources: ::std::option::Option<Resources>,
    pub team: ::std::string::String,
    ///Share of the team against others.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub weight: ::std::option::Option<::std::num::NonZeroU64>,
}
///Why an answer is not a result.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Why an answer is not a result.",
///  "type": "string",
///  "enum": [
///    "overloaded",
///    "deadline",
///    "store_unavailable",
///    "no_endpoint",
///    "impossible",
///    "unknown_service",
///    "over_quota",
///    "cancelled",
///    "stopping",
///    "endpoint_failed",
///    "attempt_lost",
///    "duplicate_key",
///    "unknown_key",
///    "invalid",
///    "retry_budget",
///    "task_failed"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Reason {
    #[serde(rename = "overloaded")]
    Overloaded,
    #[serde(rename = "deadline")]
    Deadline,
    #[serde(rename = "store_unavailable")]
    StoreUnavailable,
    #[serde(rename = "no_endpoint")]
    NoEndpoint,
    #[serde(rename = "impossible")]
    Impossible,
    #[serde(rename = "unknown_service")]
    UnknownService,
    #[serde(rename = "over_quota")]
    OverQuota,
    #[serde(rename = "cancelled")]
    Cancelled,
    #[serde(rename = "stopping")]
    Stopping,
    #[serde(rename = "endpoint_failed")]
    EndpointFailed,
    #[serde(rename = "attempt_lost")]
    AttemptLost,
    #[serde(rename = "duplicate_key")]
    DuplicateKey,
    #[serde(rename = "unknown_key")]
    UnknownKey,
    #[serde(rename = "invalid")]
    Invalid,
    #[serde(rename = "retry_budget")]
    RetryBudget,
    #[serde(rename = "task_failed")]
    TaskFailed,
}
impl ::std::fmt::Display for Reason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Overloaded => f.write_str("overloaded"),
            Self::Deadline => f.write_str("deadline"),
            Self::StoreUnavailable => f.write_str("store_unavailable"),
            Self::NoEndpoint => f.write_str("no_endpoint"),
            Self::Impossible => f.write_str("impossible"),
            Self::UnknownService => f.write_str("unknown_service"),
            Self::OverQuota => f.write_str("over_quota"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::Stopping => f.write_str("stopping"),
            Self::EndpointFailed => f.write_str("endpoint_failed"),
            Self::AttemptLost => f.write_str("attempt_lost"),
            Self::DuplicateKey => f.write_str("duplicate_key"),
            Self::UnknownKey => f.write_str("unknown_key"),
            Self::Invalid => f.write_str("invalid"),
            Self::RetryBudget => f.write_str("retry_budget"),
            Self::TaskFailed => f.write_str("task_failed"),
        }
    }
}
impl ::std::str::FromStr for Reason {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "overloaded" => Ok(Self::Overloaded),
            "deadline" => Ok(Self::Deadline),
            "store_unavailable" => Ok(Self::StoreUnavailable),
            "no_endpoint" => Ok(Self::NoEndpoint),
            "impossible" => Ok(Self::Impossible),
            "unknown_service" => Ok(Self::UnknownService),
            "over_quota" => Ok(Self::OverQuota),
            "cancelled" => Ok(Self::Cancelled),
            "stopping" => Ok(Self::Stopping),
            "endpoint_failed" => Ok(Self::EndpointFailed),
            "attempt_lost" => Ok(Self::AttemptLost),
            "duplicate_key" => Ok(Self::DuplicateKey),
            "unknown_key" => Ok(Self::UnknownKey),
            "invalid" => Ok(Self::Invalid),
            "retry_budget" => Ok(Self::RetryBudget),
            "task_failed" => Ok(Self::TaskFailed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Reason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Reason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Reason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A request that was refused before any work was done.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A request that was refused before any work was done.",
///  "type": "object",
///  "required": [
///    "allowed",
///    "field",
///    "problem",
///    "verdict"
///  ],
///  "properties": {
///    "allowed": {
///      "description": "What is allowed.",
///      "type": "string"
///    },
///    "field": {
///      "description": "The field at fault.",
///      "type": "string"
///    },
///    "problem": {
///      "description": "What was wrong.",
///      "type": "string"
///    },
///    "retry_after_ms": {
///      "description": "When to come back, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "verdict": {
///      "$ref": "#/definitions/Verdict"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestError {
    ///What is allowed.
    pub allowed: ::std::string::String,
    ///The field at fault.
    pub field: ::std::string::String,
    ///What was wrong.
    pub problem: ::std::string::String,
    ///When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    pub verdict: Verdict,
}
///Requests that an entry instance knows.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Requests that an entry instance knows.",
///  "type": "object",
///  "required": [
///    "requests"
///  ],
///  "properties": {
///    "requests": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/RequestSummary"
///      }
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestList {
    pub requests: ::std::vec::Vec<RequestSummary>,
}
///A request in a list.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A request in a list.",
///  "type": "object",
///  "required": [
///    "key",
///    "kind",
///    "phase",
///    "team"
///  ],
///  "properties": {
///    "key": {
///      "type": "string"
///    },
///    "kind": {
///      "type": "string"
///    },
///    "phase": {
///      "$ref": "#/definitions/Phase"
///    },
///    "tasks": {
///      "$ref": "#/definitions/TaskCounts"
///    },
///    "team": {
///      "type": "string"
///    },
///    "verdict": {
///      "$ref": "#/definitions/Verdict"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestSummary {
    pub key: ::std::string::String,
    pub kind: ::std::string::String,
    pub phase: Phase,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub tasks: ::std::option::Option<TaskCounts>,
    pub team: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub verdict: ::std::option::Option<Verdict>,
}
///Amounts of each resource that one task holds while it runs.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Amounts of each resource that one task holds while it runs.",
///  "type": "object",
///  "properties": {
///    "accelerators": {
///      "description": "Whole accelerators.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "connections": {
///      "description": "Connections of a service.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "memory_mib": {
///      "description": "Memory, in mebibytes.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "processors_milli": {
///      "description": "Processors, in thousandths of one.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "slots": {
///      "description": "Request slots of a service.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    ///Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
    ///Connections of a service.
    #[serde(default)]
    pub connections: u64,
    ///Memory, in mebibytes.
    #[serde(default)]
    pub memory_mib: u64,
    ///Processors, in thousandths of one.
    #[serde(default)]
    pub processors_milli: u64,
    ///Request slots of a service.
    #[serde(default)]
    pub slots: u64,
}
impl ::std::default::Default for Resources {
    fn default() -> Self {
        Self {
            accelerators: Default::default(),
            connections: Default::default(),
            memory_mib: Default::default(),
            processors_milli: Default::default(),
            slots: Default::default(),
        }
    }
}
///Replicas that run until they are retired.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Replicas that run until they are retired.",
///  "type": "object",
///  "required": [
///    "replicas",
///    "resources"
///  ],
///  "properties": {
///    "payload": {
///      "description": "Opaque input of every replica.",
///      "type": "string"
///    },
///    "replicas": {
///      "description": "Number of replicas.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    },
///    "resources": {
///      "$ref": "#/definitions/Resources"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceWork {
    ///Opaque input of every replica.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub payload: ::std::option::Option<::std::string::String>,
    ///Number of replicas.
    pub replicas: ::std::num::NonZeroU64,
    pub resources: Resources,
}
///A request of a caller.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A request of a caller.",
///  "type": "object",
///  "required": [
///    "deadline_ms",
///    "key",
///    "team",
///    "work"
///  ],
///  "properties": {
///    "deadline_ms": {
///      "description": "Time within which the caller wants its answer, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    },
///    "key": {
///      "description": "The caller's request key: 1 to 128 characters of A-Z, a-z, 0-9, '.', '_', ':' and '-'.",
///      "type": "string"
///    },
///    "team": {
///      "description": "Team whose quota the work counts against.",
///      "type": "string"
///    },
///    "wait_ms": {
///      "description": "How long a job's submission waits for the final answer, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "work": {
///      "$ref": "#/definitions/Work"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    ///Time within which the caller wants its answer, in milliseconds.
    pub deadline_ms: ::std::num::NonZeroU64,
    ///The caller's request key: 1 to 128 characters of A-Z, a-z, 0-9, '.', '_', ':' and '-'.
    pub key: ::std::string::String,
    ///Team whose quota the work counts against.
    pub team: ::std::string::String,
    ///How long a job's submission waits for the final answer, in milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub wait_ms: ::std::option::Option<u64>,
    pub work: Work,
}
///Tasks of a job by state.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tasks of a job by state.",
///  "type": "object",
///  "required": [
///    "failed",
///    "ran",
///    "running",
///    "waiting"
///  ],
///  "properties": {
///    "failed": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "ran": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "running": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "waiting": {
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TaskCounts {
    pub failed: u64,
    pub ran: u64,
    pub running: u64,
    pub waiting: u64,
}
///What is known about whether the work of a request has run.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What is known about whether the work of a request has run.",
///  "type": "string",
///  "enum": [
///    "not_run",
///    "may_have_run",
///    "ran"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Verdict {
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "may_have_run")]
    MayHaveRun,
    #[serde(rename = "ran")]
    Ran,
}
impl ::std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::MayHaveRun => f.write_str("may_have_run"),
            Self::Ran => f.write_str("ran"),
        }
    }
}
impl ::std::str::FromStr for Verdict {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "may_have_run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///What a request asks for.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What a request asks for.",
///  "oneOf": [
///    {
///      "type": "object",
///      "required": [
///        "call"
///      ],
///      "properties": {
///        "call": {
///          "$ref": "#/definitions/CallWork"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "batch"
///      ],
///      "properties": {
///        "batch": {
///          "$ref": "#/definitions/JobWork"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "gang"
///      ],
///      "properties": {
///        "gang": {
///          "$ref": "#/definitions/JobWork"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "service"
///      ],
///      "properties": {
///        "service": {
///          "$ref": "#/definitions/ServiceWork"
///        }
///      },
///      "additionalProperties": false
///    }
///  ]
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum Work {
    #[serde(rename = "call")]
    Call(CallWork),
    #[serde(rename = "batch")]
    Batch(JobWork),
    #[serde(rename = "gang")]
    Gang(JobWork),
    #[serde(rename = "service")]
    Service(ServiceWork),
}
impl ::std::convert::From<CallWork> for Work {
    fn from(value: CallWork) -> Self {
        Self::Call(value)
    }
}
impl ::std::convert::From<ServiceWork> for Work {
    fn from(value: ServiceWork) -> Self {
        Self::Service(value)
    }
}
