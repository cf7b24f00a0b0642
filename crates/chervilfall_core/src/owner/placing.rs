//! Placement of what waits, and expiry of what waited too long.

use chervilfall_agent::StartOrder;
use chervilfall_types::{Instant, Priority, Reason, WorkClass};
use chervilfall_wire::AttemptEnd;

use crate::context::Context;
use crate::members::Members;
use crate::owner::attempt::AttemptPhase;
use crate::owner::note::AttemptNote;
use crate::owner::queue::QueuedGang;
use crate::owner::{AttemptId, EndpointKey, Owner};
use crate::policy::placement;
use crate::policy::queue_order::{rank, Rank};

impl Owner {
    /// Starts what waits and fits, in the order of the ranks.
    pub(super) fn place_queued(&mut self, context: &Context<'_>) {
        let gang_rank = rank(WorkClass::Gang, Priority::Normal);
        let mut gangs_tried = false;
        for line in self.queue.lines() {
            if line.0 > gang_rank && !gangs_tried {
                gangs_tried = true;
                self.place_gangs(context);
            }
            self.place_line(context, &line);
        }
        if !gangs_tried {
            self.place_gangs(context);
        }
    }

    fn place_line(&mut self, context: &Context<'_>, line: &(Rank, placement::Shape)) {
        while let Some(id) = self.queue.head(line) {
            let Some(start_by) = self.waiting_until(id) else {
                self.queue.pop(line);
                continue;
            };
            let Some(endpoint) = placement::choose(&line.1, context.now, self.endpoints.iter())
            else {
                return;
            };
            self.queue.pop(line);
            self.order_start(context, id, endpoint, start_by);
        }
    }

    fn place_gangs(&mut self, context: &Context<'_>) {
        for gang in self.queue.take_gangs() {
            if !self.place_gang(context, &gang) {
                self.queue.push_gang(gang);
            }
        }
    }

    /// Starts all attempts of a gang if all fit at once; returns whether the gang is settled.
    fn place_gang(&mut self, context: &Context<'_>, gang: &QueuedGang) -> bool {
        let waiting: Vec<AttemptId> = gang
            .attempts
            .iter()
            .copied()
            .filter(|id| self.waiting_until(*id).is_some())
            .collect();
        if waiting.len() < gang.attempts.len() {
            return true;
        }
        let mut chosen = Vec::new();
        for id in waiting {
            let shape = self.attempts[id].shape();
            let Some(endpoint) = placement::choose(&shape, context.now, self.endpoints.iter())
            else {
                break;
            };
            self.endpoints[endpoint].reserved += shape.resources();
            chosen.push((id, endpoint));
        }
        for (id, endpoint) in &chosen {
            let resources = self.attempts[*id].spec.resources;
            self.endpoints[*endpoint].reserved -= resources;
        }
        if chosen.len() < gang.attempts.len() {
            return false;
        }
        for (id, endpoint) in chosen {
            self.order_start(context, id, endpoint, gang.start_by);
        }
        true
    }

    /// Returns the start bound of an attempt if it still waits.
    fn waiting_until(&self, id: AttemptId) -> Option<Instant> {
        match self.attempts.get(id)?.phase {
            AttemptPhase::Queued { start_by } => Some(start_by),
            _ => None,
        }
    }

    fn order_start(
        &mut self,
        context: &Context<'_>,
        id: AttemptId,
        key: EndpointKey,
        start_by: Instant,
    ) {
        let Some(clock) = self.endpoints[key].clock else {
            return;
        };
        let agent_start_by = clock.bound(start_by, context.settings.clock_drift_ppm);
        let spec = &self.attempts[id].spec;
        let order = StartOrder {
            attempt: spec.key.clone(),
            start_by: agent_start_by,
            resources: spec.resources,
            run_ms: spec.run_ms,
            endless: spec.class == WorkClass::Service,
            payload: spec.payload.clone(),
            note: AttemptNote::text(spec),
        };
        self.orders(key).starts.push(order);
        self.endpoints[key].health.placed(context.now);
        self.move_to(
            id,
            AttemptPhase::Sent {
                endpoint: key,
                start_by,
                agent_start_by,
            },
        );
    }

    /// Ends attempts whose start bound passed while they waited.
    pub(super) fn expire_queued(&mut self, context: &mut Context<'_>, members: &Members) {
        while let Some(id) = self.start_bounds.pop(context.now) {
            let Some(AttemptPhase::Queued { start_by }) =
                self.attempts.get(id).map(|attempt| attempt.phase.clone())
            else {
                continue;
            };
            if context.now >= start_by {
                let end = AttemptEnd::not_run(Reason::Deadline);
                self.end_attempt(context, members, id, end);
            }
        }
    }
}
