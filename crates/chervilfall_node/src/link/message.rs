//! Messages between nodes.

use std::sync::Arc;

use chervilfall_planner::{AdviceAnswer, AdviceOrder, Answer, Millis, Request, StartNote};
use serde::{Deserialize, Serialize};

use crate::routes::RouteTable;

/// From a follower to the holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum ToHolder {
    /// Identifies the follower; the first message on a link.
    Hello {
        /// Name of the node.
        node: String,
        /// CPU that it may use, in thousandths of a core.
        #[serde(default)]
        cpu_permille: u64,
    },
    /// A caller's request.
    Request {
        /// Number that the answer repeats.
        number: u64,
        /// The request.
        request: Box<Request>,
    },
    /// Answer of the advice service.
    Advised {
        /// Number of the order.
        number: u64,
        /// The answer.
        answer: AdviceAnswer,
    },
    /// Starts that the follower made as an earlier holder and could not store.
    UnstoredStarts(Vec<StartNote>),
    /// Shows that the link is alive.
    Heartbeat,
    /// Asks for the configuration that the holder has in force.
    ConfigurationWanted {
        /// Version that the follower has in force, if it has one.
        known: Option<u64>,
        /// When this was sent, by the follower's clock; the answer repeats it.
        asked_ms: Millis,
    },
}

/// From the holder to a follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum ToFollower {
    /// Shows that the link is alive, and reports the holder's state.
    Heartbeat {
        /// Term of its claim.
        term: u64,
        /// How long ago the claim was confirmed.
        claim_age_ms: Millis,
        /// Version of the configuration that it has in force, if it has one.
        #[serde(default)]
        configuration: Option<u64>,
    },
    /// The sender has claimed the group and is reading its rows; the link stays open until it takes
    /// over.
    Recovering,
    /// Configuration that the holder has in force.
    Configuration {
        /// When it was requested, by the follower's clock.
        asked_ms: Millis,
        /// Time since it was last known to be the newest.
        age_ms: Millis,
        /// The configuration, if it is newer than the follower's.
        table: Option<Arc<RouteTable>>,
    },
    /// Answer to a request.
    Reply {
        /// Number of the request.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// Asks the follower to call the advice service.
    Advise(AdviceOrder),
    /// The sender does not hold the group.
    NotHolder,
}
