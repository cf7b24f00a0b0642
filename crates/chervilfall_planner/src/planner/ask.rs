//! Which endpoints a step asks the advice service about.

use std::cmp::Reverse;

use crate::advice::Advice;
use crate::endpoint::EndpointKey;
use crate::job::Step;
use crate::planner::schedule::{Pass, Wanted};
use crate::planner::Planner;
use crate::room::Room;
use crate::tasks::StepKey;

/// Fewest endpoints that a first call for advice names, if there are as many.
const ASK_LEAST: u32 = 30;
/// Endpoints that a call names for each task that waits: about a quarter may run a step.
const ASK_FOR_EACH_TASK: u32 = 8;
/// Most calls on their way for one gang. Tickets last little longer than a slow call, so that a gang that
/// needs those of several calls has to make them side by side.
const GANG_CALLS: usize = 3;

/// Returns how many calls for a step may be on their way.
pub(super) const fn most_calls(step: &Step) -> usize {
    if step.gang {
        GANG_CALLS
    } else {
        1
    }
}

impl Planner {
    /// Asks about endpoints that are not known for the step yet, or refreshes tickets of allowed
    /// ones that have room now. Returns whether a call was made.
    pub(super) fn ask_for_step(&mut self, pass: &Pass, key: StepKey, wanted: &Wanted) -> bool {
        let (Some(terms), Some(pool)) = (wanted.advice, pass.pools.get(&wanted.service)) else {
            return false;
        };
        let Some(progress) = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.step_progress(key))
        else {
            return false;
        };
        let waiting = progress.waiting();
        if waiting == 0 {
            return false;
        }
        let need = Room::of_step(wanted.step());
        let enough = if wanted.step().gang {
            u64::from(waiting)
        } else {
            1
        };
        let room = |endpoint: EndpointKey| self.endpoints[endpoint].free();
        let usable = allowed_with_room(pool, &progress.advice, need, room);
        let fits = |keys: &[EndpointKey]| -> u64 {
            keys.iter()
                .map(|key| u64::from(room(*key).fits(need)))
                .sum()
        };
        let calls = progress.advice.calls();
        if calls >= most_calls(wanted.step()) {
            return false;
        }
        if fits(&usable) >= enough {
            if calls > 0 {
                return false;
            }
            let stale = usable
                .iter()
                .any(|endpoint| progress.advice.ticket(*endpoint, self.now).is_none());
            return stale && self.ask(key, terms, &usable);
        }
        let most = (waiting * ASK_FOR_EACH_TASK).max(ASK_LEAST) as usize;
        let left = most.saturating_sub(progress.advice.asked());
        // Most of a call's time does not depend on how many it names.
        if calls > 0 && left < ASK_LEAST as usize {
            return false;
        }
        let named = self.unknown_by_room(pool, &progress.advice, wanted, left, room);
        !named.is_empty() && self.ask(key, terms, &named)
    }

    /// Returns up to `most` endpoints that nothing is known of: those with room first, of these those whose speed
    /// suits the work, and of these those with most processor to be had.
    fn unknown_by_room(
        &self,
        pool: &[EndpointKey],
        advice: &Advice,
        wanted: &Wanted,
        most: usize,
        room: impl Fn(EndpointKey) -> Room,
    ) -> Vec<EndpointKey> {
        let need = Room::of_step(wanted.step());
        let unknown = pool.iter().filter(|key| advice.is_open(**key));
        let able = unknown.filter(|key| Room::of_entry(&self.endpoints[**key].entry).holds(need));
        let mut found: Vec<(bool, i8, Reverse<u64>, EndpointKey)> = able
            .map(|key| {
                let room = room(*key);
                let rank = wanted.haste.rank(self.pace(&self.endpoints[*key]));
                (!room.holds(need), rank, Reverse(room.cpu_milli), *key)
            })
            .collect();
        // A call names a few of hundreds, so that only these are put in order.
        if most < found.len() {
            found.select_nth_unstable(most);
            found.truncate(most);
        }
        found.sort_unstable();
        found.into_iter().map(|(.., key)| key).collect()
    }
}

/// Returns the endpoints that may run the step and have room for a task of it.
fn allowed_with_room(
    pool: &[EndpointKey],
    advice: &Advice,
    need: Room,
    room: impl Fn(EndpointKey) -> Room,
) -> Vec<EndpointKey> {
    let allowed = pool.iter().filter(|key| advice.allowed(**key));
    allowed
        .filter(|key| room(**key).holds(need))
        .copied()
        .collect()
}
