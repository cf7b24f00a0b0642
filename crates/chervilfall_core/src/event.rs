//! What happens to the core.

use chervilfall_agent::{ExchangeAnswer, LeaseAnswer, ListAnswer, PollAnswer, StaleEpoch};
use chervilfall_platform::{MembershipList, Row, TransactionAnswer};
use chervilfall_types::{EntryId, EntryIncarnation, Instant, RemoteInstant};
use chervilfall_wire::PeerMessage;

use crate::action::StoreOrder;
use crate::owner::EndpointKey;
use crate::rpc::{RpcCall, Ticket};

/// Why an agent did not answer a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentFailure {
    /// The call surely had no effect.
    NoEffect,
    /// The call may have taken effect.
    Unknown,
    /// The agent refused the epoch.
    Stale(StaleEpoch),
}

/// Answer of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentReply {
    /// To a request for the lease.
    Lease(Result<LeaseAnswer, AgentFailure>),
    /// To a list.
    List(Result<ListAnswer, AgentFailure>),
    /// To an exchange.
    Exchange(Result<ExchangeAnswer, AgentFailure>),
    /// To a poll.
    Poll(Result<PollAnswer, AgentFailure>),
    /// To a release.
    Release(Result<(), AgentFailure>),
}

/// Why the platform did not answer a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// The call surely had no effect.
    NoEffect,
    /// The call may have taken effect.
    Unknown,
}

/// Answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// To a transaction.
    Commit(Result<TransactionAnswer, StoreFailure>),
    /// To a scan.
    Rows(Result<Vec<Row>, StoreFailure>),
    /// To a read of the list of endpoints.
    Members(Result<MembershipList, StoreFailure>),
    /// To the write or deletion of an object.
    ObjectWritten(Result<(), StoreFailure>),
    /// To the read of an object.
    Object(Result<String, StoreFailure>),
}

/// Something that happened outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; comes at least once every ten milliseconds.
    Tick,
    /// A caller or operator called.
    Rpc {
        /// Names the call until it is answered.
        ticket: Ticket,
        /// The call.
        call: Box<RpcCall>,
    },
    /// A link to another entry instance came up.
    PeerUp(EntryIncarnation),
    /// The link to another entry instance went down.
    PeerDown(EntryId),
    /// A heartbeat of another entry instance arrived.
    PeerClock {
        /// The instance.
        entry: EntryId,
        /// Its clock.
        clock: RemoteInstant,
    },
    /// A message of another entry instance arrived.
    Peer {
        /// The sender.
        from: EntryId,
        /// The message.
        message: PeerMessage,
    },
    /// An agent answered, or surely won't.
    Agent {
        /// The endpoint.
        endpoint: EndpointKey,
        /// When the call was sent.
        sent: Instant,
        /// The answer.
        reply: AgentReply,
    },
    /// The platform answered, or surely won't.
    Store {
        /// Who waits for it.
        order: StoreOrder,
        /// When the call was sent.
        sent: Instant,
        /// The answer.
        reply: StoreReply,
    },
    /// A planned stop begins.
    Stop,
}
