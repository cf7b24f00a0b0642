//! For how long steps have room without starting.

use crate::ids::Millis;
use crate::planner::schedule::{Pass, StepRequest};
use crate::planner::Planner;
use crate::tasks::StepKey;

impl Planner {
    /// Returns for how long a step has had room within the hard limits with nothing running, as of now.
    /// `request` applies these limits only.
    pub(super) fn passed_over_ms(
        &mut self,
        pass: &Pass,
        key: StepKey,
        request: &StepRequest,
    ) -> Millis {
        let now = self.now;
        let job = self.jobs.get(&key.job);
        let Some(progress) = job.and_then(|job| job.step_progress(key)) else {
            return 0;
        };
        let mut room_wait = progress.room_wait;
        if !progress.stands(request.step().long_running) {
            room_wait.record(now, false);
        } else if room_wait.check_due(now) {
            room_wait.record(now, self.has_room(pass, key, request));
        } else {
            return room_wait.for_ms(now);
        }
        let job = self.jobs.get_mut(&key.job);
        if let Some(progress) = job.and_then(|job| job.step_progress_mut(key)) {
            progress.room_wait = room_wait;
        }
        room_wait.for_ms(now)
    }

    /// Returns whether a step could start within the limits of `request` if it had tickets for all
    /// endpoints that may be granted.
    fn has_room(&self, pass: &Pass, key: StepKey, request: &StepRequest) -> bool {
        let mut with_room = pass.with_room(request).peekable();
        if with_room.peek().is_none() {
            return false;
        }
        let Some(judged) = self.judged_within_hard_limits(key, request) else {
            return false;
        };
        let gang = request.step().gang;
        let mut missing = if gang { judged.progress.waiting() } else { 1 };
        let need = request.required_resources();
        for endpoint in with_room {
            if request.advice.is_some() && judged.progress.advice.denied(endpoint) {
                continue;
            }
            if let Ok(offer) = self.judge(&judged, endpoint) {
                missing = missing.saturating_sub(offer.max_fitting(need));
            }
            if missing == 0 {
                return true;
            }
        }
        false
    }
}
