//! Orders to endpoints and their answers, as the holder and its relays carry them out.

use chervilfall_planner::{
    EndpointId, EndpointKey, Event, HoldAnswer, HoldOrder, Millis, Refusal, Run, StartAnswer,
    StartOrder, StopAnswer, StopOrder, TaskKey,
};
use serde::{Deserialize, Serialize};

use crate::ports::{Endpoints, LateLists, ORDER_TIMEOUT_MS};

/// Number of an order, unique in its holder's process.
pub(crate) type OrderNumber = u64;

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum EndpointOrder {
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(StopOrder),
    /// Renews leases and reads the lists.
    Hold(HoldOrder),
}

impl EndpointOrder {
    /// Returns the endpoint that is called.
    pub(crate) const fn endpoint(&self) -> &EndpointId {
        match self {
            Self::Start(order) => &order.id,
            Self::Stop(order) => &order.id,
            Self::Hold(order) => &order.id,
        }
    }

    /// Returns how long the caller of the endpoint waits for its answer.
    pub(crate) const fn timeout_ms(&self) -> Millis {
        match self {
            Self::Start(_) | Self::Stop(_) => ORDER_TIMEOUT_MS,
            Self::Hold(order) => order.timeout_ms,
        }
    }

    /// Returns the size of the texts whose length has no bound in the protocol, in bytes.
    pub(crate) fn text_bytes(&self) -> usize {
        let Self::Start(order) = self else {
            return 0;
        };
        let ticket = order.ticket.as_ref().map_or(0, String::len);
        order.spec.len() + order.checkpoint.len() + ticket
    }

    /// Returns what the planner has to be told about the order with its answer.
    pub(crate) const fn subject(&self, sent_ms: Millis) -> OrderSubject {
        match self {
            Self::Start(order) => OrderSubject::Start {
                endpoint: order.endpoint,
                task: order.task,
                run: order.run,
            },
            Self::Stop(order) => OrderSubject::Stop {
                endpoint: order.endpoint,
                task: order.task,
                run: order.run,
            },
            Self::Hold(order) => OrderSubject::Hold {
                endpoint: order.endpoint,
                sent_ms,
            },
        }
    }

    /// Calls the endpoint. Lists that arrive after the timeout of a hold go to `late`.
    pub(crate) async fn call<E: Endpoints>(self, endpoints: &E, late: LateLists) -> EndpointAnswer {
        match self {
            Self::Start(order) => EndpointAnswer::Start(endpoints.start(order).await),
            Self::Stop(order) => EndpointAnswer::Stop(endpoints.stop(order).await),
            Self::Hold(order) => EndpointAnswer::Hold(endpoints.hold(order, late).await),
        }
    }
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum EndpointAnswer {
    /// The endpoint's answer to a start.
    Start(StartAnswer),
    /// The endpoint's answer to a stop.
    Stop(StopAnswer),
    /// The endpoint's answer to a hold.
    Hold(HoldAnswer),
    /// The endpoint was not called.
    NotCalled,
}

impl EndpointAnswer {
    /// Returns whether the endpoint was called and did not answer.
    pub(crate) const fn is_unanswered(&self) -> bool {
        matches!(
            self,
            Self::Start(StartAnswer::Unanswered)
                | Self::Stop(StopAnswer::Unanswered)
                | Self::Hold(HoldAnswer::Unanswered)
        )
    }

    /// Returns the size of what has no bound in the protocol, in bytes.
    pub(crate) fn list_bytes(&self) -> usize {
        let Self::Hold(HoldAnswer::Report(report)) = self else {
            return 0;
        };
        let running = report.running.iter().map(|run| run.checkpoint.len());
        let ended = report.ended.iter().map(|end| end.checkpoint.len());
        running.chain(ended).map(|length| length + RUN_BYTES).sum()
    }
}

/// Size of a run in the answer to a hold without its checkpoint, in bytes.
const RUN_BYTES: usize = 120;

/// What the planner has to be told about an order with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderSubject {
    Start {
        endpoint: EndpointKey,
        task: TaskKey,
        run: Run,
    },
    Stop {
        endpoint: EndpointKey,
        task: TaskKey,
        run: Run,
    },
    Hold {
        endpoint: EndpointKey,
        sent_ms: Millis,
    },
}

impl OrderSubject {
    /// Returns the name of the order's kind in metrics.
    pub(crate) const fn kind(self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
            Self::Hold { .. } => "hold",
        }
    }

    /// Returns the answer to an order that may have been carried out.
    pub(crate) const fn unanswered(self) -> EndpointAnswer {
        match self {
            Self::Start { .. } => EndpointAnswer::Start(StartAnswer::Unanswered),
            Self::Stop { .. } => EndpointAnswer::Stop(StopAnswer::Unanswered),
            Self::Hold { .. } => EndpointAnswer::Hold(HoldAnswer::Unanswered),
        }
    }

    /// Returns the planner's event. An endpoint that was not called has refused. An answer to an
    /// order of another kind says nothing.
    pub(crate) fn event(self, answer: EndpointAnswer) -> Event {
        match self {
            Self::Start {
                endpoint,
                task,
                run,
            } => Event::Started {
                endpoint,
                task,
                run,
                answer: match answer {
                    EndpointAnswer::Start(answer) => answer,
                    EndpointAnswer::NotCalled => StartAnswer::Refused(Refusal::Unhealthy),
                    _ => StartAnswer::Unanswered,
                },
            },
            Self::Stop {
                endpoint,
                task,
                run,
            } => Event::Stopped {
                endpoint,
                task,
                run,
                answer: match answer {
                    EndpointAnswer::Stop(answer) => answer,
                    EndpointAnswer::NotCalled => StopAnswer::Refused,
                    _ => StopAnswer::Unanswered,
                },
            },
            Self::Hold { endpoint, sent_ms } => Event::Held {
                endpoint,
                sent_ms,
                answer: match answer {
                    EndpointAnswer::Hold(answer) => answer,
                    EndpointAnswer::NotCalled => HoldAnswer::Refused,
                    _ => HoldAnswer::Unanswered,
                },
            },
        }
    }
}
