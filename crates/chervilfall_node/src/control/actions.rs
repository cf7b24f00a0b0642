//! Carries out the planner's actions: orders on the thread for traffic, commits on theirs, replies over links.

use std::future::Future;
use std::sync::Arc;
use std::time::Instant;

use chervilfall_planner::{
    decode_text, Action, AdviceAnswer, AdviceOrder, Answer, Batch, EndpointKey, Event, HoldReport,
    JobId, LookupResult, NodeId, ProgressRow, ReplyTo, ENDED, TEXTS,
};

use tokio::sync::oneshot;

use super::{Control, ControlEvent, LOCAL_NODE};
use crate::link::ToFollower;
use crate::orders::EndpointOrder;
use crate::ports::{Advisor, Platform, Store};

impl<P: Platform> Control<P> {
    pub(super) fn carry_out(&mut self, term: u64, action: Action) {
        match action {
            Action::Reply { to, answer } => self.reply(to, answer),
            Action::Commit(batch) => self.commit(term, batch),
            Action::Start(order) => self.carry_out_order(term, EndpointOrder::Start(order)),
            Action::Stop(order) => self.carry_out_order(term, EndpointOrder::Stop(order)),
            Action::Hold(order) => self.carry_out_order(term, EndpointOrder::Hold(order)),
            Action::LookUp(id) => self.look_up(term, id),
            Action::ReadText(id) => self.read_text(term, id),
            Action::Advise { node, order } => self.advise(term, node, order),
            Action::StepDown(reason) => self.step_down(reason),
        }
    }

    /// Runs an order or a call on the traffic thread and feeds its result to the planner of the term.
    pub(super) fn spawn_order<F>(&self, term: u64, order: F)
    where
        F: Future<Output = Event> + Send + 'static,
    {
        let sender = self.context.sender.clone();
        self.context.traffic.spawn(async move {
            let event = order.await;
            let completed = ControlEvent::ActionCompleted { term, event };
            completed.send(&sender).await;
        });
    }

    /// Hands the planner the lists that arrive after their hold's timeout, if any do.
    pub(super) fn spawn_late_lists(
        &self,
        term: u64,
        endpoint: EndpointKey,
        lists: oneshot::Receiver<HoldReport>,
    ) {
        let sender = self.context.sender.clone();
        self.context.traffic.spawn(async move {
            let Ok(report) = lists.await else {
                return;
            };
            let event = Event::ListedLate { endpoint, report };
            let completed = ControlEvent::ActionCompleted { term, event };
            completed.send(&sender).await;
        });
    }

    /// Sends a commit on the thread for commits, and feeds its outcome to the planner of the term.
    fn commit(&self, term: u64, batch: Batch) {
        let (store, group) = (
            self.context.platform.store().clone(),
            self.context.group.clone(),
        );
        let (number, copy) = (batch.number, batch.copy);
        let (sender, ordered) = (self.context.sender.clone(), Instant::now());
        self.context.commits.spawn(async move {
            let waited = ordered.elapsed();
            let outcome = store.commit(&group, batch).await;
            let event = Event::Committed {
                number,
                copy,
                outcome,
            };
            let completed = ControlEvent::CommitCompleted {
                term,
                waited,
                event,
            };
            completed.send(&sender).await;
        });
    }

    fn look_up(&self, term: u64, id: JobId) {
        let (store, group) = (
            self.context.platform.store().clone(),
            self.context.group.clone(),
        );
        self.spawn_order(term, async move {
            let read = store.read_row(&group, ENDED, &id.to_string()).await;
            let look = match read.map(|(row, _)| row.map(|row| ProgressRow::decode(&row.value))) {
                Ok(Some(Ok(row))) => LookupResult::Ended(row),
                Ok(None) => LookupResult::Absent,
                Ok(Some(Err(error))) => {
                    log::error!(job:% = id, error:% = error; "row of an ended job cannot be read");
                    LookupResult::Failed
                }
                Err(error) => {
                    log::info!(job:% = id, error:% = error; "look-up of an ended job failed");
                    LookupResult::Failed
                }
            };
            Event::LookedUp { id, look }
        });
    }

    fn read_text(&self, term: u64, id: JobId) {
        let (store, group) = (
            self.context.platform.store().clone(),
            self.context.group.clone(),
        );
        self.spawn_order(term, async move {
            let read = store.read_row(&group, TEXTS, &id.to_string()).await;
            let text = read.ok().and_then(|(row, _)| row);
            let text = text.and_then(|row| decode_text(&row.value).ok());
            let text = text.map(Arc::from);
            if text.is_none() {
                log::info!(job:% = id; "job text could not be read");
            }
            Event::TextRead { id, text }
        });
    }

    fn advise(&mut self, term: u64, node: NodeId, order: AdviceOrder) {
        let number = order.number;
        if node == LOCAL_NODE {
            let advisor = self.context.platform.advisor().clone();
            self.spawn_order(term, async move {
                let answer = advisor.advise(order).await;
                Event::Advised { number, answer }
            });
            return;
        }
        let link = self.links.get(&node);
        let sent = link.is_some_and(|link| link.queue.try_send(ToFollower::Advise(order)).is_ok());
        if !sent {
            let answer = AdviceAnswer::Failed;
            let event = Event::Advised { number, answer };
            let completed = ControlEvent::ActionCompleted { term, event };
            // A full queue only delays the retry until the call's deadline.
            drop(self.context.sender.try_send(completed));
        }
    }

    fn reply(&mut self, to: ReplyTo, answer: Answer) {
        if to.node == LOCAL_NODE {
            if let Some(waiter) = self.waiting.remove(&to.number) {
                // A caller that is gone needs no answer.
                let _ = waiter.send(answer);
            }
            return;
        }
        let reply = ToFollower::Reply {
            number: to.number,
            answer,
        };
        let link = self.links.get(&to.node);
        if link.is_some_and(|link| link.queue.try_send(reply).is_err()) {
            log::warn!(follower = to.node, number = to.number; "reply dropped, the follower's queue is full or closed");
        }
    }
}
