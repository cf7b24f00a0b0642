//! The follower's side of relayed orders: it calls endpoints for the holder.

use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::Millis;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

use crate::clock::now_ms;
use crate::leadership::LeadershipState;
use crate::link::frames::{LinkEnd, QUEUE_CAPACITY};
use crate::link::message::ToHolder;
use crate::orders::{EndpointAnswer, EndpointOrder, OrderNumber};
use crate::ports::Endpoints;

/// How long an answer waits for others that are sent with it.
const BATCH_TIME: Duration = Duration::from_millis(2);
/// Size of a message of answers, in bytes, from which it does not wait for others, so that
/// heartbeats and requests are sent between them.
const MESSAGE_BYTES: usize = 16_384;
/// Size of an answer without its lists, in bytes.
const ANSWER_BYTES: usize = 64;

type NumberedAnswer = (OrderNumber, EndpointAnswer);

/// Carries out the orders that arrive on one link. Calls that are in flight when it is dropped are
/// aborted, and those that have not begun are not made.
#[derive(Debug)]
pub(super) struct Relay<E> {
    endpoints: E,
    leadership: Arc<LeadershipState>,
    /// Longest time between messages of a link that has not ended.
    silence_ms: Millis,
    last_message_ms: Millis,
    calls: JoinSet<()>,
    answers: mpsc::Sender<NumberedAnswer>,
    /// Makes the calls.
    traffic: Handle,
}

impl<E: Endpoints> Relay<E> {
    /// Creates the relay of a new link, and the queue of its answers.
    pub(super) fn new(
        endpoints: E,
        leadership: Arc<LeadershipState>,
        silence: Duration,
        traffic: Handle,
    ) -> (Self, mpsc::Receiver<NumberedAnswer>) {
        let (answers, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let relay = Self {
            endpoints,
            leadership,
            silence_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
            last_message_ms: now_ms(),
            calls: JoinSet::new(),
            answers,
            traffic,
        };
        (relay, receiver)
    }

    /// Records that a message has arrived; returns false if it was read so long after the one before
    /// that the holder has given the link up. Timers stand while the machine is suspended, so the
    /// timeout of reading does not show this.
    pub(super) fn note_message(&mut self) -> bool {
        let now = now_ms();
        let before_ms = std::mem::replace(&mut self.last_message_ms, now);
        now.saturating_sub(before_ms) <= self.silence_ms
    }

    /// Begins orders of a holder of a term. They run concurrently, as holds wait at endpoints.
    pub(super) fn carry_out(&mut self, term: u64, orders: Vec<(OrderNumber, EndpointOrder)>) {
        // Releases the tasks that have ended.
        while self.calls.try_join_next().is_some() {}
        let received_ms = now_ms();
        for (number, order) in orders {
            let (endpoints, leadership) = (self.endpoints.clone(), Arc::clone(&self.leadership));
            let answers = self.answers.clone();
            let call = async move {
                let late = now_ms().saturating_sub(received_ms) > order.timeout_ms();
                let answer = if late || !leadership.note_term(term) {
                    EndpointAnswer::NotCalled
                } else {
                    // The holder takes one answer to an order.
                    let (late, _) = oneshot::channel();
                    order.call(&endpoints, late).await
                };
                // Fails only if the link has ended.
                drop(answers.send((number, answer)).await);
            };
            self.calls.spawn_on(call, &self.traffic);
        }
    }
}

/// Sends answers to the holder in batches until the link ends.
pub(super) async fn send_answers(
    mut answers: mpsc::Receiver<NumberedAnswer>,
    queue: mpsc::Sender<ToHolder>,
) -> LinkEnd {
    loop {
        let Some(first) = answers.recv().await else {
            return LinkEnd::Closed;
        };
        let until = Instant::now() + BATCH_TIME;
        let mut bytes = answer_bytes(&first);
        let mut batch = vec![first];
        while bytes < MESSAGE_BYTES {
            let Ok(Some(answer)) = timeout_at(until, answers.recv()).await else {
                break;
            };
            bytes += answer_bytes(&answer);
            batch.push(answer);
        }
        if queue.try_send(ToHolder::EndpointAnswers(batch)).is_err() {
            return LinkEnd::Blocked;
        }
    }
}

fn answer_bytes((_, answer): &NumberedAnswer) -> usize {
    ANSWER_BYTES + answer.list_bytes()
}
