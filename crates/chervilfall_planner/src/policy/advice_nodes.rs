//! Outlier ejection of nodes whose calls to the advice service fail.
//!
//! A node whose calls fail at once is idle first, so it would be chosen for the next call as well.

use std::collections::{BTreeMap, BTreeSet};

use crate::event::NodeId;
use crate::ids::Millis;

/// Number of failed calls in a row from which a node is ejected. One or two failures also come from
/// a lost packet or from a burst of calls.
const FAILURE_THRESHOLD: u32 = 3;
/// First ejection. A ticket is valid for 1.5 s, and a step may lose at most one ticket.
const FIRST_EJECTION_MS: Millis = 500;
/// Longest ejection. A node that has recovered is used again soon.
const MAX_EJECTION_MS: Millis = 4_000;

/// Outcomes of the latest calls of a node.
#[derive(Debug, Clone, Copy, Default)]
struct Health {
    /// Failed calls since the last successful one.
    failures: u32,
    /// When the first of them failed.
    failing_since_ms: Millis,
    /// When the last of them failed.
    failed_ms: Millis,
    succeeded_ms: Option<Millis>,
    /// Ejections since the last successful call.
    ejections: u32,
    ejected_until_ms: Millis,
}

impl Health {
    const fn is_failing(&self) -> bool {
        self.failures >= FAILURE_THRESHOLD
    }

    const fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until_ms
    }
}

/// Health of the nodes that call the advice service.
#[derive(Debug, Clone, Default)]
pub struct NodeHealth {
    nodes: BTreeMap<NodeId, Health>,
}

impl NodeHealth {
    /// Sets the nodes that can make calls. Others are forgotten.
    pub fn set_nodes(&mut self, nodes: &[NodeId]) {
        let linked: BTreeSet<NodeId> = nodes.iter().copied().collect();
        self.nodes.retain(|node, _| linked.contains(node));
        for node in nodes {
            self.nodes.entry(*node).or_default();
        }
    }

    /// Records a successful call; returns whether it ends a series of ejections.
    pub fn succeeded(&mut self, now: Millis, node: NodeId) -> bool {
        let Some(health) = self.nodes.get_mut(&node) else {
            return false;
        };
        let was_ejected = health.ejections > 0;
        *health = Health {
            succeeded_ms: Some(now),
            ..Health::default()
        };
        was_ejected
    }

    /// Records a call that failed or timed out; returns the ejection if the node is ejected.
    pub fn failed(&mut self, now: Millis, node: NodeId) -> Option<Millis> {
        let health = self.nodes.get_mut(&node)?;
        if health.failures == 0 {
            health.failing_since_ms = now;
        }
        health.failures += 1;
        health.failed_ms = now;
        let health = *health;
        if !health.is_failing()
            || health.is_ejected(now)
            || !self.others_succeed(node, health.failing_since_ms)
            || 2 * (self.ejected(now) + 1) > self.nodes.len()
        {
            return None;
        }
        let ejection_ms = (FIRST_EJECTION_MS << health.ejections.min(8)).min(MAX_EJECTION_MS);
        let health = self.nodes.get_mut(&node)?;
        health.ejections += 1;
        health.ejected_until_ms = now + ejection_ms;
        // The next ejection depends on what other nodes do from now on.
        health.failing_since_ms = now;
        Some(ejection_ms)
    }

    /// Returns whether a call of another node has succeeded since then.
    fn others_succeed(&self, node: NodeId, since_ms: Millis) -> bool {
        let mut others = self.nodes.iter().filter(|(other, _)| **other != node);
        others.any(|(_, health)| health.succeeded_ms >= Some(since_ms))
    }

    /// Returns the number of failed calls of a node since its last successful one, or 0 if the last
    /// one failed longer ago than the first ejection lasts. Nodes with fewer are preferred:
    /// otherwise one idle node whose calls fail might get all calls, and no other would succeed.
    #[must_use]
    pub fn recent_failures(&self, now: Millis, node: NodeId) -> u32 {
        let health = self.nodes.get(&node);
        let recent =
            health.filter(|health| now.saturating_sub(health.failed_ms) < FIRST_EJECTION_MS);
        recent.map_or(0, |health| health.failures)
    }

    /// Returns the number of nodes that are ejected.
    #[must_use]
    pub fn ejected(&self, now: Millis) -> usize {
        let ejected = self.nodes.values().filter(|health| health.is_ejected(now));
        ejected.count()
    }

    /// Returns whether a node may make a call: it is not ejected, or the calls of all nodes fail.
    #[must_use]
    pub fn may_call(&self, now: Millis, node: NodeId) -> bool {
        let ejected = self
            .nodes
            .get(&node)
            .is_some_and(|health| health.is_ejected(now));
        !ejected || self.nodes.values().all(Health::is_failing)
    }
}
