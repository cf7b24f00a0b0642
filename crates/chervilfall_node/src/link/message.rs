//! Messages between nodes.

use std::sync::Arc;

use chervilfall_planner::{
    AdviceAnswer, AdviceOrder, Answer, CallNumber, Millis, Request, StartNote,
};
use serde::{Deserialize, Serialize};

use crate::link::octets;
use crate::orders::{EndpointAnswer, EndpointOrder, OrderNumber};
use crate::routes::RouteTable;

/// From a follower to the holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum ToHolder {
    /// Identifies the follower; the first message on a link.
    Hello {
        /// Name of the node.
        node: String,
        /// Size of the node, in thousandths of a core. The name is that of earlier versions, which
        /// sent its CPU.
        #[serde(default)]
        cpu_permille: u64,
        /// Failure domain of the node.
        #[serde(default)]
        domain: String,
        /// The follower relays orders to endpoints.
        #[serde(default)]
        relays: bool,
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
        /// Number of the call.
        number: CallNumber,
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
        /// The follower takes pieces.
        #[serde(default)]
        takes_pieces: bool,
    },
    /// A piece of the configuration has arrived. Sent only to a holder that sends pieces.
    ConfigurationPieceTaken {
        /// When the configuration was asked for.
        asked_ms: Millis,
    },
    /// Answers to orders.
    EndpointAnswers(Vec<(OrderNumber, EndpointAnswer)>),
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
    /// A piece of the configuration that the holder has in force. Sent only to a follower that takes
    /// pieces.
    ConfigurationPiece(ConfigurationPiece),
    /// Answer to a request.
    Reply {
        /// Number of the request.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// Asks the follower to call the advice service.
    Advise(AdviceOrder),
    /// Orders that the follower makes at endpoints. Sent only to a follower that relays them.
    EndpointOrders {
        /// Term of the holder's claim.
        term: u64,
        /// The orders with their numbers.
        orders: Vec<(OrderNumber, EndpointOrder)>,
    },
    /// The sender does not hold the group.
    NotHolder,
}

/// A piece of an encoded configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigurationPiece {
    /// When the configuration was requested, by the follower's clock.
    pub(super) asked_ms: Millis,
    /// Time since it was last known to be the newest.
    pub(super) age_ms: Millis,
    /// Its version.
    pub(super) version: u64,
    /// Bytes before this piece.
    pub(super) offset: u64,
    /// No piece follows.
    pub(super) last: bool,
    /// The piece.
    #[serde(with = "octets")]
    pub(super) bytes: Vec<u8>,
}
