//! Timings and limits of a planner, with the reason for each default.

use crate::ids::Millis;
use crate::policy::switches::Policies;

/// Timings and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Lease that a hold grants to an endpoint's tasks. It outlasts a takeover, which takes up to
    /// 1.9 s; a longer lease would delay the restart of tasks of lost endpoints.
    pub lease_ms: Millis,
    /// Longest lease that endpoints accept.
    pub lease_max_ms: Millis,
    /// Maximum lease expiry after the last commit. It must outlast outages of the store; a
    /// successor waits this long for endpoints that it cannot reach.
    pub claim_cover_ms: Millis,
    /// Maximum time that an order is on its way, through a relay that is suspended for a while, until it
    /// reaches an endpoint or its caller has given up.
    pub order_transit_ms: Millis,
    /// Maximum drift of an endpoint's clock relative to the planner's, in thousandths.
    pub drift_permille: u64,
    /// Uncertainty of readings of other clocks.
    pub clock_slack_ms: Millis,
    /// Minimum time between the starts of two commits; trades latency for fewer calls.
    pub commit_gap_ms: Millis,
    /// Maximum time between commits. Each commit renews the claim, so followers soon notice a lost
    /// holder. This takes 7 of the hundreds of writes per second that the store supports.
    pub renew_ms: Millis,
    /// Pause before a commit that the store has refused or not answered is repeated.
    pub commit_retry_ms: Millis,
    /// Minimum wait before a second copy of a commit is sent while the first is in flight: many
    /// times what a healthy store takes. Once one copy is applied, the others fail their condition
    /// on the claim row.
    pub commit_copy_ms: Millis,
    /// Maximum number of copies of a commit in flight.
    pub commit_copies: usize,
    /// How long to wait for the answer to a copy: several times what a slow store takes.
    pub commit_timeout_ms: Millis,
    /// Maximum number of rows in a commit; the store accepts 100 entries.
    pub commit_rows: usize,
    /// Maximum bytes of values in a commit, which a link of 10 Mbit/s carries, encoded, well within
    /// the time that others let the claim stand still. The store accepts a megabyte.
    pub commit_bytes: usize,
    /// Bytes of a commit's values that a link is expected to carry in a millisecond. Another copy
    /// is sent only when the one before has had the time to arrive, since they share the link.
    pub commit_bytes_per_ms: usize,
    /// Time within which a store that has become slow usually recovers. It is as long as the outages
    /// of the store that `claim_cover_ms` outlasts.
    pub store_recovery_ms: Millis,
    /// Maximum number of submissions that wait for the store; further ones are refused immediately.
    pub accept_queue: usize,
    /// Maximum memory of all jobs that are known, in bytes; further submissions are refused.
    pub max_job_bytes: u64,
    /// How long an endpoint may delay its answer to a hold while no run ends.
    pub hold_wait_ms: Millis,
    /// Additional time to wait for the answer to a hold: many times what a healthy endpoint takes.
    pub hold_answer_ms: Millis,
    /// Pause between a report and the next hold of the endpoint, so that one hold collects several
    /// ends: on a busy endpoint with 32 cores, a run ends every 0.2 s.
    pub hold_gap_ms: Millis,
    /// The same while latency-sensitive work runs there. On 350 endpoints the median overhead of a
    /// short request is 0.1 s, which waiting for other ends could double.
    pub sensitive_hold_gap_ms: Millis,
    /// Maximum number of holds in flight for less than `first_hold_ms` to endpoints that have not
    /// answered this holder yet. If all endpoints of a large fleet answered at once, a new holder
    /// would be too busy to renew its claim.
    pub first_holds: usize,
    /// The same for endpoints that have left a hold unanswered.
    pub repeated_holds: usize,
    /// Time after which such a hold no longer counts, because its endpoint may never answer.
    pub first_hold_ms: Millis,
    /// Maximum interval between holds of an endpoint that runs nothing. Such an endpoint has
    /// nothing to report, and on a large fleet these holds would take CPU time from callers'
    /// requests. An endpoint that is lost leaves the platform's list after about this time.
    pub max_idle_hold_interval_ms: Millis,
    /// Number of endpoints for each millisecond of the idle hold interval. The interval is short on
    /// a small fleet because holds detect lost endpoints.
    pub idle_endpoints_per_ms: usize,
    /// Pause before the hold that follows an unanswered one.
    pub hold_retry_ms: Millis,
    /// Maximum number of ends in an endpoint's list. Further ones are listed once these are
    /// acknowledged, so a list with as many may lack some.
    pub max_listed_ends: usize,
    /// An endpoint that has been silent for this long, and thus has left a hold unanswered, gets no
    /// starts and no further leases.
    pub silent_ms: Millis,
    /// An endpoint that does not enforce its capacity gets no starts if its latest status report is
    /// older than this. A node computes the value from its settings; this default results from
    /// their defaults.
    pub report_age_ms: Millis,
    /// Nothing is started if the last reading of the evacuations is older than this; no limit if
    /// none.
    pub evacuations_age_ms: Option<Millis>,
    /// Interval at which a stop is repeated.
    pub stop_retry_ms: Millis,
    /// Pause of starts on an endpoint that refused a start or left one unanswered.
    pub start_pause_ms: Millis,
    /// Maximum number of copies of a start that are sent before the run is withdrawn.
    pub start_copies: u32,
    /// Minimum remaining validity of a ticket, so that the start can reach the endpoint in time.
    pub ticket_margin_ms: Millis,
    /// Maximum number of endpoints in an advice call.
    pub advice_endpoints: usize,
    /// Time added to the stated duration of an advice call before the call counts as failed.
    pub advice_slack_ms: Millis,
    /// How long the state of a finished job remains available.
    pub status_ms: Millis,
    /// Maximum time between passes over the open steps when nothing has changed.
    pub pass_ms: Millis,
    /// Maximum number of records of jobs that were cancelled before they were submitted, so that
    /// calls for unknown jobs cannot fill the store. 2,000 small rows are estimated to be far more
    /// than a wave of cancellations needs.
    pub max_pre_cancelled_jobs: usize,
    /// Maximum bytes of a row's value. A node computes it from its settings; this default results from
    /// 65,536 bytes as the store encodes them.
    pub row_bytes: usize,
    /// Policies in force.
    pub policies: Policies,
}

impl Limits {
    /// Returns the interval between holds of an endpoint that runs nothing, for a fleet of
    /// `endpoints` endpoints.
    fn idle_hold_interval_ms(&self, endpoints: usize) -> Millis {
        let pause_ms = endpoints / self.idle_endpoints_per_ms.max(1);
        self.max_idle_hold_interval_ms.min(pause_ms as Millis)
    }

    /// Returns how long the hold of an endpoint that runs nothing waits for an end. On a large fleet
    /// most starts meet no such hold, and one that waits takes the connection from the next start.
    pub(crate) fn idle_hold_wait_ms(&self, endpoints: usize) -> Millis {
        if self.idle_hold_interval_ms(endpoints) < self.hold_wait_ms {
            self.hold_wait_ms
        } else {
            0
        }
    }

    /// Returns the pause between an answer of an endpoint that runs nothing and its next hold. It
    /// makes up for holds that do not wait.
    pub(crate) fn idle_hold_pause_ms(&self, endpoints: usize) -> Millis {
        let saved_wait_ms = self.hold_wait_ms - self.idle_hold_wait_ms(endpoints);
        let pause_ms = self.idle_hold_interval_ms(endpoints) + saved_wait_ms;
        pause_ms.min(self.max_idle_hold_interval_ms)
    }

    /// Returns the longest time that an endpoint's clock takes to advance by this time.
    pub(crate) const fn on_slow_clock_ms(&self, advance_ms: Millis) -> Millis {
        let slow_ms = advance_ms * self.drift_permille / (1_000 - self.drift_permille) + 1;
        advance_ms + slow_ms
    }

    /// Returns when a lease has certainly lapsed that is granted for `lease_ms` at `from_ms` or before.
    pub(crate) const fn lease_over_ms(&self, from_ms: Millis, lease_ms: Millis) -> Millis {
        from_ms + self.on_slow_clock_ms(lease_ms) + self.clock_slack_ms
    }

    /// Returns when a stale lease has certainly lapsed that an order may grant which was sent at `sent_ms`
    /// or before.
    pub(crate) const fn stale_lease_over_ms(&self, sent_ms: Millis) -> Millis {
        self.lease_over_ms(sent_ms + self.order_transit_ms, self.lease_max_ms)
    }

    /// Returns the time of contact for an answer to a hold: now, or when the hold was sent if the
    /// answer is overdue. Such an answer may have waited here while this process was paused, and
    /// another incarnation may have started since.
    pub(crate) const fn last_contact_ms(&self, now: Millis, sent_ms: Millis) -> Millis {
        if now.saturating_sub(sent_ms) > self.hold_wait_ms + self.hold_answer_ms {
            sent_ms
        } else {
            now
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_ms: 2_500,
            lease_max_ms: 6_000,
            claim_cover_ms: 9_000,
            order_transit_ms: 1_000,
            drift_permille: 20,
            clock_slack_ms: 300,
            commit_gap_ms: 20,
            renew_ms: 150,
            commit_retry_ms: 50,
            commit_copy_ms: 60,
            commit_copies: 8,
            commit_timeout_ms: 1_000,
            commit_rows: 95,
            commit_bytes: 150_000,
            commit_bytes_per_ms: 600,
            store_recovery_ms: 9_000,
            accept_queue: 1_000,
            max_job_bytes: u64::MAX,
            hold_wait_ms: 600,
            hold_answer_ms: 350,
            hold_gap_ms: 100,
            sensitive_hold_gap_ms: 10,
            first_holds: 128,
            repeated_holds: 32,
            first_hold_ms: 100,
            max_idle_hold_interval_ms: 4_500,
            idle_endpoints_per_ms: 2,
            hold_retry_ms: 200,
            max_listed_ends: 500,
            silent_ms: 950,
            report_age_ms: 3_800,
            evacuations_age_ms: None,
            stop_retry_ms: 300,
            start_pause_ms: 700,
            start_copies: 3,
            ticket_margin_ms: 150,
            advice_endpoints: 100,
            advice_slack_ms: 600,
            status_ms: 150_000,
            pass_ms: 50,
            max_pre_cancelled_jobs: 2_000,
            row_bytes: 48_128,
            policies: Policies::default(),
        }
    }
}
