//! Callers' requests: finds the queue, asks the holder, waits for it a little if there is none.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use chervilfall_kernel::Deadline;
use chervilfall_planner::{AccountName, Answer, JobId, Request};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::clock::{clock, now_ms};
use crate::configuration::ConfigurationState;
use crate::control::ControlEvent;
use crate::keys::KeyDigest;
use crate::leadership::{Leadership, LeadershipState, PendingRequest};
use crate::routes::{Route, RouteTable};
use crate::settings::Timings;
use crate::wait_bounds::WaitBounds;

/// When a caller that found no holder should come back.
const RETRY_MS: u64 = 1_000;
/// Time between lines about denied requests, which callers can send in any number.
const DENIED_LOG_INTERVAL_MS: u64 = 100;
/// Time between looks at whether the node is isolated.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before a request is passed on again that a lost holder had: some round trips of a link.
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
    /// There is no such queue or key in the configuration in force, or there is one, but this node can't know whether that
    /// still holds.
    Unconfirmed,
}

/// Until when a key that was taken away may still be let through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Revocation {
    /// Time from the acknowledgement of the configuration that took it away.
    pub(crate) within_ms: u64,
    /// This holds for a node that cannot read the configuration too.
    pub(crate) strict: bool,
}

/// Takes callers' requests.
#[derive(Debug)]
pub struct Front {
    configuration: Arc<ConfigurationState>,
    leadership: Arc<LeadershipState>,
    control: mpsc::Sender<ControlEvent>,
    timings: Timings,
    /// How old a reading may be by which a call with a key is let through; none where calls need no key.
    revocation: Option<Revocation>,
    stopping: AtomicBool,
    /// How old the holder's claim was when it was last heard of, in milliseconds; `u64::MAX` while unknown.
    claim_age_ms: AtomicU64,
    /// When that was.
    claim_reported_ms: AtomicU64,
    /// Since when neither a holder nor the store can be reached, in milliseconds; `u64::MAX` while one can.
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
    ) -> Self {
        Self {
            configuration,
            leadership,
            control,
            timings,
            revocation,
            stopping: AtomicBool::new(false),
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

    /// Returns how old the holder's claim is: what it last said, and the time since.
    pub(crate) fn claim_age_ms(&self) -> u64 {
        let said_ms = self.claim_age_ms.load(Ordering::Relaxed);
        let since_ms = now_ms().saturating_sub(self.claim_reported_ms.load(Ordering::Relaxed));
        said_ms.saturating_add(since_ms)
    }

    /// Notes whether the store can be reached while there is no holder.
    pub(crate) fn set_isolated(&self, isolated: bool) {
        let since_ms = if isolated { now_ms() } else { u64::MAX };
        // The first of several failures in a row counts.
        let earlier_ms = self.isolated_since_ms.load(Ordering::Relaxed);
        if !isolated || earlier_ms == u64::MAX {
            self.isolated_since_ms.store(since_ms, Ordering::Relaxed);
        }
    }

    /// Returns until when a request may wait on a node that is isolated, if this one is.
    fn isolation_deadline(&self) -> Option<Deadline> {
        let since_ms = self.isolated_since_ms.load(Ordering::Relaxed);
        if since_ms == u64::MAX {
            return None;
        }
        let until_ms = since_ms + self.timings.isolated_wait_ms;
        Some(clock().deadline(Duration::from_millis(until_ms.saturating_sub(now_ms()))))
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether callers should be sent here: the configuration is known and followed, and a holder whose claim is
    /// fresh can be reached.
    #[must_use]
    pub fn ready(&self) -> bool {
        if self.stopping() || !self.configuration.has_recent_answer() {
            return false;
        }
        let linked = !matches!(self.leadership.current(), Leadership::NoHolder);
        linked && self.claim_age_ms() < self.timings.ready_age_ms
    }

    /// Finds the route of a request. That there is none is said only by a configuration in which everything is in force
    /// that must be; else it is awaited for a little.
    ///
    /// # Errors
    ///
    /// Returns the answer if there is none.
    pub async fn route(&self, host: &str, path: &str) -> Result<Route, FrontAnswer> {
        if let Some(route) = self.find(host, path) {
            return Ok(route);
        }
        let wait_budget = Duration::from_millis(self.timings.configuration_wait_ms);
        let current = self.configuration.wait_until_current(wait_budget).await;
        if let Some(route) = self.find(host, path) {
            return Ok(route);
        }
        let (why, answer) = match self.routes() {
            None => ("no configuration", FrontAnswer::NoConfiguration),
            Some(_) if !current => ("unconfirmed", FrontAnswer::Unconfirmed),
            Some(_) => ("no queue", FrontAnswer::NoQueue),
        };
        self.record_denied(why, host, path);
        Err(answer)
    }

    /// Finds the account that a call's key belongs to; none if the call needs no key.
    ///
    /// A key may have been taken away right after the last reading of the configuration was sent. So a call is let through
    /// only while that is no longer ago than a revoked key may live, by a clock that counts suspension too. A key that is not
    /// known is denied as a queue is: only by a reading so new that every key in force must be in it.
    ///
    /// # Errors
    ///
    /// Returns the answer if the call must not run.
    pub async fn authorise(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<AccountName>, FrontAnswer> {
        let Some(revocation) = self.revocation.filter(|_| !route.public) else {
            return Ok(None);
        };
        let digest = key.map(KeyDigest::of);
        if let Some(account) = self.account(digest, revocation) {
            return Ok(Some(account));
        }
        let wait_budget = Duration::from_millis(self.timings.configuration_wait_ms);
        let current = self.configuration.wait_until_current(wait_budget).await;
        if let Some(account) = self.account(digest, revocation) {
            return Ok(Some(account));
        }
        let (why, answer) = if current && self.configuration.is_current() {
            ("unknown key", FrontAnswer::UnknownKey)
        } else {
            ("key not confirmed", FrontAnswer::Unconfirmed)
        };
        self.record_denied(why, &route.host, &route.path_prefix);
        Err(answer)
    }

    /// Returns the account of a key, if that is known recently enough.
    fn account(&self, digest: Option<KeyDigest>, revocation: Revocation) -> Option<AccountName> {
        let table = self.routes()?;
        let account = table.keys.account(digest?)?.clone();
        // Looked at after the table: a reading that confirms a newer one speaks for no older.
        let age_ms = self.configuration.age_ms()?;
        let newest = self.configuration.version() == Some(table.version);
        let recent = !revocation.strict || (newest && age_ms <= revocation.within_ms);
        recent.then_some(account)
    }

    fn find(&self, host: &str, path: &str) -> Option<Route> {
        self.routes()?.find(host, path).cloned()
    }

    /// Notes a request for which there is no queue, with what that was decided by.
    fn record_denied(&self, why: &'static str, host: &str, path: &str) {
        metrics::counter!("chervilfall_requests_denied_total", "why" => why).increment(1);
        let now_ms = now_ms();
        let line_ms = self.denied_logged_ms.load(Ordering::Relaxed);
        if now_ms < line_ms + DENIED_LOG_INTERVAL_MS {
            return;
        }
        self.denied_logged_ms.store(now_ms, Ordering::Relaxed);
        let version = self.routes().map(|routes| routes.version);
        let age_ms = self.configuration.age_ms();
        log::info!(why = why, host = host, path = path, version = version, age_ms = age_ms; "request denied");
    }

    /// Asks the holder and waits for its answer, at most `wait_budget` if that is given.
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
        let mut sent = false;
        loop {
            // What was sent to a holder may be stored: only the next holder can tell.
            let holder_by = if sent { answer_by } else { refuse_by };
            let Some(leadership) = self.wait_for_holder(holder_by, !sent).await else {
                return not_answered(sent, &request);
            };
            if let Request::Submit { wait_ms, .. } = &mut request {
                *wait_ms = millis(clock().left(refuse_by));
            }
            let (answer, receiver) = oneshot::channel();
            let pending = PendingRequest {
                request: request.clone(),
                answer,
            };
            let forwarded = self.forward(&leadership, pending);
            // A link that is given up must not be kept alive by those that wait for its answers.
            drop(leadership);
            if forwarded {
                sent = true;
                match clock().until(answer_by, receiver).await {
                    Ok(Ok(answer)) => return answer,
                    // The holder went away; a new one answers for what the old one stored.
                    Ok(Err(_)) => {}
                    Err(_) => return not_answered(sent, &request),
                }
            }
            if clock().left(holder_by).is_zero() {
                return not_answered(sent, &request);
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
    }

    /// Waits for a holder. If the node is isolated, one that `refuse_if_isolated` then does not: callers are served sooner
    /// by nodes that are not cut off.
    async fn wait_for_holder(
        &self,
        deadline: Deadline,
        refuse_if_isolated: bool,
    ) -> Option<Leadership> {
        loop {
            let current = self.leadership.current();
            if has_holder(&current) {
                return Some(current);
            }
            let isolation_deadline = self.isolation_deadline().filter(|_| refuse_if_isolated);
            let until = isolation_deadline.map_or(deadline, |until| until.min(deadline));
            let left = clock().left(until);
            if left.is_zero() {
                return None;
            }
            // Whether the node is isolated can change meanwhile.
            let look = left.min(ISOLATION_CHECK_INTERVAL);
            let found = timeout(look, self.leadership.wait_until(has_holder)).await;
            if let Ok(found) = found {
                return found;
            }
        }
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

const fn is_failure(answer: Answer) -> bool {
    matches!(
        answer,
        Answer::Refused { .. }
            | Answer::NotCancelled { .. }
            | Answer::TooLarge
            | Answer::NameTaken
            | Answer::OverShare { .. }
            | Answer::NoQueue
            | Answer::Undecided
    )
}

const fn kind(request: &Request) -> &'static str {
    match request {
        Request::Submit { .. } => "submit",
        Request::State { .. } => "state",
        Request::Cancel { .. } => "cancel",
        Request::Waiting { .. } => "waiting",
    }
}

const fn label(answer: Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::Refused { .. } => "refused",
        Answer::State(_) => "state",
        Answer::Cancelled => "cancelled",
        Answer::NotCancelled { .. } => "unavailable",
        Answer::Unknown => "unknown",
        Answer::Waiting(_) => "waiting",
        Answer::TooLarge => "too_large",
        Answer::NameTaken => "name_taken",
        Answer::OverShare { .. } => "over_share",
        Answer::NoQueue => "no_queue",
        Answer::Undecided => "undecided",
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Answers a request that the holder has not answered: refused only if it was sent to nobody.
fn not_answered(sent: bool, request: &Request) -> Answer {
    let refused = !sent && matches!(request, Request::Submit { .. });
    if refused {
        return Answer::Refused { retry_ms: RETRY_MS };
    }
    if !sent {
        return Answer::NotCancelled { retry_ms: RETRY_MS };
    }
    Answer::Undecided
}
