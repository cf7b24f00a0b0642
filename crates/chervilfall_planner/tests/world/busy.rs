//! Nodes whose planner takes time for its work.

use chervilfall_planner::{PassWork, Planner};

use super::World;

/// Time that work takes on a node with half a core, in nanoseconds.
#[derive(Debug, Clone, Copy)]
pub struct WorkCost {
    pub event_ns: u64,
    pub step_ns: u64,
    pub endpoint_ns: u64,
    pub node_ns: u64,
}

impl WorkCost {
    fn of(self, work: PassWork) -> u64 {
        self.event_ns
            + work.steps_visited * self.step_ns
            + work.endpoints_judged * self.endpoint_ns
            + work.nodes_searched * self.node_ns
    }
}

impl World {
    /// Keeps a node busy for the work of the event that its planner has just handled.
    pub(super) fn charge_work(&mut self, node: usize) {
        let Some(cost) = self.work_cost else {
            return;
        };
        let state = &mut self.nodes[node];
        let work = state.planner.as_mut().map(Planner::take_work);
        let began_ns = state.busy_until_ns.max(self.now * 1_000_000);
        state.busy_until_ns = began_ns + cost.of(work.unwrap_or_default());
    }

    /// Returns when a node can handle its next event: once it is neither frozen nor busy.
    pub(super) fn free_at_ms(&self, node: usize) -> u64 {
        let node = &self.nodes[node];
        node.frozen_until_ms.max(node.busy_until_ns / 1_000_000)
    }
}
