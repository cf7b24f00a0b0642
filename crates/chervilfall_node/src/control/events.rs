//! Events of the control thread.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use chervilfall_planner::{
    AdviceAnswer, CallNumber, DomainName, EndpointEntry, Event, NodeId, Request, StartNote,
    StoredGroup, Takeover,
};
use tokio::sync::mpsc;

use super::thread_lags::MeasuredThread;
use crate::leadership::PendingRequest;
use crate::link::FollowerLink;
use crate::load::WorkKind;
use crate::orders::{EndpointAnswer, OrderNumber};

/// Events of the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A request from one of this node's callers.
    LocalRequest(PendingRequest),
    /// A follower has linked.
    LinkUp {
        id: NodeId,
        node: String,
        link: FollowerLink,
    },
    /// A follower's link has ended.
    LinkDown { id: NodeId },
    /// A request that a follower forwards.
    LinkRequest {
        id: NodeId,
        number: u64,
        request: Request,
    },
    /// A node that held the group before reports starts that it could not store.
    UnstoredStarts(Vec<StartNote>),
    /// A follower answers a call for advice.
    LinkAdvised {
        id: NodeId,
        number: CallNumber,
        answer: AdviceAnswer,
    },
    /// A follower answers orders to endpoints.
    EndpointAnswers(Vec<(OrderNumber, EndpointAnswer)>),
    /// An action of the planner of a term has completed.
    ActionCompleted { term: u64, event: Event },
    /// This node has claimed the group.
    Claimed {
        takeover: Takeover,
        stored: StoredGroup,
        claimed_ms: u64,
    },
    /// Whether this node is reading the rows of a group that it has claimed.
    Recovering(bool),
    /// The list of endpoints was read.
    Endpoints {
        read_ms: u64,
        entries: Vec<EndpointEntry>,
        evacuated: BTreeSet<DomainName>,
    },
    /// A planned stop has begun.
    Release,
    /// Shows by its age how long events wait in the queue.
    Probe(Instant),
    /// A task of a thread that does nothing has run.
    ThreadProbe {
        thread: MeasuredThread,
        ran: Instant,
    },
    /// A commit of the planner of a term has completed, which had waited for the thread that sends it.
    CommitCompleted {
        term: u64,
        waited: Duration,
        event: Event,
    },
}

impl ControlEvent {
    /// Returns what kind of work it is.
    pub(super) const fn kind(&self) -> WorkKind {
        match self {
            Self::LocalRequest(_) | Self::LinkRequest { .. } => WorkKind::Requests,
            Self::EndpointAnswers(_) => WorkKind::Endpoints,
            Self::LinkAdvised { .. } => WorkKind::Advice,
            Self::ActionCompleted { event, .. } => kind_of_completed(event),
            Self::CommitCompleted { .. } => WorkKind::Store,
            Self::LinkUp { .. }
            | Self::LinkDown { .. }
            | Self::UnstoredStarts(_)
            | Self::Release
            | Self::Probe(_)
            | Self::ThreadProbe { .. } => WorkKind::Links,
            Self::Endpoints { .. } | Self::Claimed { .. } | Self::Recovering(_) => WorkKind::Lists,
        }
    }

    /// Sends it to the control thread.
    pub(super) async fn send(self, sender: &mpsc::Sender<Self>) {
        // The control thread runs until the process ends, so the send does not fail.
        drop(sender.send(self).await);
    }
}

const fn kind_of_completed(event: &Event) -> WorkKind {
    match event {
        Event::Started { .. }
        | Event::Stopped { .. }
        | Event::Held { .. }
        | Event::ListedLate { .. } => WorkKind::Endpoints,
        Event::Advised { .. } => WorkKind::Advice,
        _ => WorkKind::Store,
    }
}
