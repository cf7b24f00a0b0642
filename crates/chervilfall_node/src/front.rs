//! Handles callers' requests: finds the queue, forwards the request to the holder, and waits
//! briefly if there is none.

mod access;
mod labels;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use chervilfall_kernel::Deadline;
use chervilfall_planner::{no_holder_retry_ms, Answer, JobId, Request};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::clock::{clock, now_ms};
use crate::configuration::ConfigurationState;
use crate::control::ControlEvent;
use crate::leadership::{Leadership, LeadershipState, PendingRequest};
use crate::planned_stop::{PlannedStop, RequestPhase, StopTimes};
use crate::routes::RouteTable;
use crate::settings::Timings;
use crate::wait_bounds::WaitBounds;

use labels::{is_failure, kind, label};

/// Time after which a caller that found no holder should retry.
const RETRY_MS: u64 = 1_000;
/// Interval between checks whether the node is isolated.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before a request that was sent to a lost holder is forwarded again: some round trips of a
/// link.
const RESEND_PAUSE: Duration = Duration::from_millis(20);

/// Answer to a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontAnswer {
    /// The holder's answer.
    Answer(Answer),
    /// There is no such queue.
    NoQueue,
    /// This node has no configuration yet.
    NoConfiguration,
    /// No account has this key.
    UnknownKey,
    /// This node can't know whether what its configuration says about the queue or key still holds.
    Unconfirmed,
}

/// How long a revoked key may still be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Revocation {
    /// Time after the acknowledgement of the configuration that revoked it.
    pub(crate) within_ms: u64,
    /// Whether this also holds for a node that cannot read the configuration.
    pub(crate) strict: bool,
}

/// Handles callers' requests.
#[derive(Debug)]
pub struct Front {
    configuration: Arc<ConfigurationState>,
    leadership: Arc<LeadershipState>,
    control: mpsc::Sender<ControlEvent>,
    timings: Timings,
    /// Maximum age of the reading by which a call with a key is accepted; none if calls need no
    /// key.
    revocation: Option<Revocation>,
    /// Callers that found no holder are told different times to retry.
    spread_retries: bool,
    stop: PlannedStop,
    /// Age of the holder's claim when it was last reported, in milliseconds; `u64::MAX` while
    /// unknown.
    claim_age_ms: AtomicU64,
    /// When that was reported, in milliseconds.
    claim_reported_ms: AtomicU64,
    /// Since when neither a holder nor the store can be reached, in milliseconds; `u64::MAX` while
    /// one can.
    isolated_since_ms: AtomicU64,
    /// When a denied request was last logged, in milliseconds.
    denied_logged_ms: AtomicU64,
}

impl Front {
    pub(crate) fn new(
        configuration: Arc<ConfigurationState>,
        leadership: Arc<LeadershipState>,
        control: mpsc::Sender<ControlEvent>,
        timings: Timings,
        revocation: Option<Revocation>,
        spread_retries: bool,
    ) -> Self {
        Self {
            configuration,
            leadership,
            control,
            timings,
            revocation,
            spread_retries,
            stop: PlannedStop::new(),
            claim_age_ms: AtomicU64::new(u64::MAX),
            claim_reported_ms: AtomicU64::new(0),
            isolated_since_ms: AtomicU64::new(u64::MAX),
            denied_logged_ms: AtomicU64::new(0),
        }
    }

    pub(crate) const fn configuration(&self) -> &Arc<ConfigurationState> {
        &self.configuration
    }

    /// Returns the configuration in force, if one is known.
    #[must_use]
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.configuration.current()
    }

    pub(crate) fn set_claim_age(&self, age_ms: u64) {
        self.claim_age_ms.store(age_ms, Ordering::Relaxed);
        self.claim_reported_ms.store(now_ms(), Ordering::Relaxed);
    }

    /// Returns the age of the holder's claim: the last reported age, plus the time since.
    pub(crate) fn claim_age_ms(&self) -> u64 {
        let reported_ms = self.claim_age_ms.load(Ordering::Relaxed);
        let since_ms = now_ms().saturating_sub(self.claim_reported_ms.load(Ordering::Relaxed));
        reported_ms.saturating_add(since_ms)
    }

    /// Records whether the node is isolated: there is no holder, and the store cannot be read.
    pub(crate) fn set_isolated(&self, isolated: bool) {
        let since_ms = if isolated { now_ms() } else { u64::MAX };
        // The first of several failures in a row counts.
        let earlier_ms = self.isolated_since_ms.load(Ordering::Relaxed);
        if !isolated || earlier_ms == u64::MAX {
            self.isolated_since_ms.store(since_ms, Ordering::Relaxed);
        }
    }

    /// Returns until when a request may wait, if this node is isolated.
    fn isolation_deadline(&self) -> Option<Deadline> {
        let since_ms = self.isolated_since_ms.load(Ordering::Relaxed);
        if since_ms == u64::MAX {
            return None;
        }
        let until_ms = since_ms + self.timings.isolated_wait_ms;
        Some(clock().deadline(Duration::from_millis(until_ms.saturating_sub(now_ms()))))
    }

    /// Begins a planned stop. Only the first call counts.
    pub(crate) fn begin_stop(&self, times: StopTimes) {
        self.stop.begin(times);
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Returns whether callers should be sent here: the configuration is known and was read
    /// recently, and a holder whose claim is fresh can be reached.
    #[must_use]
    pub fn ready(&self) -> bool {
        if self.stopping() || !self.configuration.has_recent_answer() {
            return false;
        }
        let linked = !matches!(self.leadership.current(), Leadership::NoHolder);
        linked && self.claim_age_ms() < self.timings.ready_age_ms
    }

    /// Forwards a request to the holder and waits for its answer, at most `wait_budget` if given.
    pub async fn handle_request(&self, request: Request, wait_budget: Option<Duration>) -> Answer {
        let began = clock().elapsed();
        let kind = kind(&request);
        let job = job(&request);
        let answer = self.forward_within_budget(request, wait_budget).await;
        let took = clock().elapsed().saturating_sub(began);
        if let (Some(job), true) = (job, is_failure(answer)) {
            let wait_budget_ms = wait_budget.map_or(0, millis);
            log::info!(
                job:% = job, kind = kind, answer = label(answer), took_ms = millis(took),
                patience_ms = wait_budget_ms, claim_age_ms = self.claim_age_ms();
                "request not carried out"
            );
        }
        metrics::histogram!("chervilfall_request_seconds", "kind" => kind)
            .record(took.as_secs_f64());
        metrics::counter!("chervilfall_requests_total", "kind" => kind, "answer" => label(answer))
            .increment(1);
        answer
    }

    async fn forward_within_budget(
        &self,
        mut request: Request,
        wait_budget: Option<Duration>,
    ) -> Answer {
        let bounds = WaitBounds::new(wait_budget, &self.timings);
        let answer_by = clock().deadline(bounds.answer);
        let refuse_by = clock().deadline(bounds.holder(&request));
        let mut phase = RequestPhase::NotSent;
        loop {
            let holder_by = match phase {
                RequestPhase::NotSent => refuse_by,
                // It may be stored: only the next holder knows.
                RequestPhase::Sent => answer_by,
            };
            let Some(leadership) = self.wait_for_holder(holder_by, phase).await else {
                return self.not_answered(phase, &request);
            };
            if let Request::Submit { wait_ms, .. } = &mut request {
                *wait_ms = millis(clock().left(self.stop.cut(refuse_by, RequestPhase::Sent)));
            }
            let (answer, receiver) = oneshot::channel();
            let pending = PendingRequest {
                request: request.clone(),
                answer,
            };
            let forwarded = self.forward(&leadership, pending);
            // A closed link must not be kept alive by requests that wait for its answers.
            drop(leadership);
            if forwarded {
                phase = RequestPhase::Sent;
                match self.stop.until(answer_by, receiver).await {
                    Ok(Ok(answer)) => return answer,
                    // The holder is gone; a new one answers for what the old one stored.
                    Ok(Err(_)) => {}
                    Err(_) => return self.not_answered(phase, &request),
                }
            }
            if clock().left(self.stop.cut(holder_by, phase)).is_zero() {
                return self.not_answered(phase, &request);
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
    }

    /// Waits for a holder. An isolated node stops waiting early for one that it can send a request to:
    /// callers are served sooner by nodes that are not cut off.
    async fn wait_for_holder(&self, deadline: Deadline, phase: RequestPhase) -> Option<Leadership> {
        loop {
            let current = self.leadership.current();
            if has_holder(&current) {
                return Some(current);
            }
            let isolation_deadline = self.isolation_deadline();
            let isolation_deadline = isolation_deadline.filter(|_| phase == RequestPhase::NotSent);
            let until = isolation_deadline.map_or(deadline, |until| until.min(deadline));
            let left = clock().left(self.stop.cut(until, phase));
            if left.is_zero() {
                return None;
            }
            // The node may become isolated or begin to stop meanwhile.
            let check_in = left.min(ISOLATION_CHECK_INTERVAL);
            let found = timeout(check_in, self.leadership.wait_until(has_holder)).await;
            if let Ok(found) = found {
                return found;
            }
        }
    }

    /// Returns the answer for a request that no holder has answered: refused only if it was never
    /// sent.
    fn not_answered(&self, phase: RequestPhase, request: &Request) -> Answer {
        if phase == RequestPhase::Sent {
            return Answer::Undecided;
        }
        let job = job(request).filter(|_| self.spread_retries);
        let retry_ms = job.map_or(RETRY_MS, no_holder_retry_ms);
        if matches!(request, Request::Submit { .. }) {
            metrics::counter!("chervilfall_jobs_refused_total", "reason" => "no_holder")
                .increment(1);
            return Answer::Refused { retry_ms };
        }
        Answer::NotCancelled { retry_ms }
    }

    fn forward(&self, leadership: &Leadership, pending: PendingRequest) -> bool {
        match leadership {
            Leadership::NoHolder => false,
            Leadership::Local => self
                .control
                .try_send(ControlEvent::LocalRequest(pending))
                .is_ok(),
            Leadership::Remote(link) => link.send_request(pending),
        }
    }
}

const fn has_holder(leadership: &Leadership) -> bool {
    !matches!(leadership, Leadership::NoHolder)
}

const fn job(request: &Request) -> Option<JobId> {
    match request {
        Request::Submit { id, .. } | Request::State { id, .. } | Request::Cancel { id, .. } => {
            Some(*id)
        }
        Request::Waiting { .. } => None,
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
