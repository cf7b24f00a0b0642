//! Links to followers: what arrives on them, and the heartbeats that keep them open.

use std::time::Instant;

use chervilfall_planner::{Event, NodeId};

use super::{Control, ControlEvent, LOCAL_NODE};
use crate::clock::now_ms;
use crate::leadership::Leadership;
use crate::link::{FollowerLink, ToFollower};
use crate::ports::Platform;

impl<P: Platform> Control<P> {
    /// Feeds an event that a follower sends to the planner if the follower's link has not ended. A link
    /// belongs to one term: it is dropped with the planner that it serves, and its number is not used
    /// again.
    pub(super) fn feed_from_link(&mut self, id: NodeId, event: Event) {
        if self.links.contains_key(&id) {
            self.feed(event);
        }
    }

    pub(super) fn feed_nodes(&mut self) {
        let nodes = std::iter::once(LOCAL_NODE).chain(self.links.keys().copied());
        self.feed(Event::Nodes(nodes.collect()));
    }

    pub(super) fn link_up(&mut self, id: NodeId, node: &str, link: FollowerLink) {
        let Some(first) = self.heartbeat() else {
            // The link ends when its queue is dropped.
            drop(link.queue.try_send(ToFollower::NotHolder));
            return;
        };
        log::info!(link = id, follower = node, serves = self.planner.is_some(); "follower linked");
        // The queue is new and empty, so this does not fail.
        drop(link.queue.try_send(first));
        self.links.insert(id, link);
        self.feed_nodes();
    }

    /// Returns the message for followers if this node holds the group or is about to.
    pub(super) fn heartbeat(&self) -> Option<ToFollower> {
        let Some(planner) = &self.planner else {
            return self.recovering.then_some(ToFollower::Recovering);
        };
        Some(ToFollower::Heartbeat {
            term: planner.term(),
            claim_age_ms: planner.claim_age_ms(now_ms()),
            configuration: self.context.configuration.version(),
        })
    }

    /// Keeps links open while rows are read, as followers would otherwise dial again and again.
    /// They are closed if the group is not taken over.
    pub(super) fn set_recovering(&mut self, recovering: bool) {
        self.recovering = recovering;
        if !recovering && self.planner.is_none() {
            self.drop_links();
        }
    }

    pub(super) fn drop_links(&mut self) {
        for link in self.links.values() {
            // A follower that does not receive this notices that the link ends.
            drop(link.queue.try_send(ToFollower::NotHolder));
        }
        self.links.clear();
    }

    pub(super) fn link_down(&mut self, id: NodeId) {
        if self.links.remove(&id).is_some() {
            self.update_relays();
            self.end_orders_of(id);
            self.feed_nodes();
        }
    }

    /// Sends the current holder the starts that this node could not store: if an endpoint was lost
    /// together with this node's claim, no other node knows them.
    pub(super) fn send_unstored_starts(&mut self) {
        if self.unstored.is_empty() {
            return;
        }
        match self.context.leadership.current() {
            Leadership::NoHolder => {}
            Leadership::Local => {
                let starts = std::mem::take(&mut self.unstored);
                self.feed(Event::UnstoredStarts(starts));
            }
            Leadership::Remote(link) => {
                if link.send_unstored_starts(&self.unstored) {
                    log::info!(starts = self.unstored.len(); "unstored starts sent to the holder");
                    self.unstored.clear();
                }
            }
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        let now = now_ms();
        let Some(heartbeat) = self.heartbeat() else {
            return;
        };
        if let Some(planner) = &self.planner {
            self.context.front.set_claim_age(planner.claim_age_ms(now));
        }
        if now < self.heartbeat_due_ms {
            return;
        }
        self.heartbeat_due_ms = now + self.context.heartbeat_ms;
        self.measure_lags();
        self.hand_over_if_due();
        self.update_relays();
        // A full queue shows in the status even without a probe.
        drop(
            self.context
                .sender
                .try_send(ControlEvent::Probe(Instant::now())),
        );
        self.waiting.retain(|_, waiter| !waiter.is_closed());
        for link in self.links.values() {
            // A follower that misses heartbeats closes the link.
            drop(link.queue.try_send(heartbeat.clone()));
        }
    }
}
