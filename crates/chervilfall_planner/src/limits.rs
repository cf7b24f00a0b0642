//! Timings and limits of a planner, with the origin of each default.

use crate::ids::Millis;
use crate::policy::switches::Policies;

/// Timings and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Lease that a hold grants an endpoint's tasks. It outlasts a takeover, which takes up to 1.9 s;
    /// a longer one keeps the tasks of lost endpoints waiting.
    pub lease_ms: Millis,
    /// Longest lease that endpoints grant.
    pub lease_max_ms: Millis,
    /// Leases reach no further than this after the last commit. It has to outlast outages of the
    /// store; a successor waits as long for endpoints that it cannot reach.
    pub claim_cover_ms: Millis,
    /// Drift of an endpoint's clock against this one, in thousandths.
    pub drift_permille: u64,
    /// Uncertainty of readings of other clocks.
    pub clock_slack_ms: Millis,
    /// Shortest time between the starts of two commits; trades latency for calls.
    pub commit_gap_ms: Millis,
    /// A commit renews the claim at least this often, so that followers notice a lost holder soon: 7 writes
    /// a second of the hundreds that the store takes.
    pub renew_ms: Millis,
    /// Pause before a commit is repeated that the store has refused or left without an answer.
    pub commit_retry_ms: Millis,
    /// Shortest wait before a second copy of a commit is sent beside the first: many times what a
    /// sound store takes. Whichever copy comes first, the others find the claim moved.
    pub commit_copy_ms: Millis,
    /// Most copies of a commit on their way.
    pub commit_copies: usize,
    /// How long the answer to a copy is awaited: some times what a slow store takes.
    pub commit_timeout_ms: Millis,
    /// Most rows of a commit; the store takes 100 entries.
    pub commit_rows: usize,
    /// Most bytes of values in a commit; the store takes a megabyte with encoding.
    pub commit_bytes: usize,
    /// Most submissions that wait for the store; more are refused at once.
    pub accept_queue: usize,
    /// How long a hold may wait for an end.
    pub hold_wait_ms: Millis,
    /// How long the answer of a hold is awaited beyond that: many times what a sound endpoint takes.
    pub hold_answer_ms: Millis,
    /// Pause between a report and the next hold of its endpoint, so that a hold brings several ends: a busy
    /// endpoint of 32 cores has one each 0.2 s.
    pub hold_gap_ms: Millis,
    /// The same while hurried work runs there: on 350 endpoints a short request spends 0.1 s beside its run at the
    /// median, and a wait for others' ends can double that.
    pub sensitive_hold_gap_ms: Millis,
    /// Most holds of endpoints that have not answered this holder yet, on their way for less than `first_hold_ms`. A new holder
    /// of a large fleet is kept from renewing its claim by answers that come all together.
    pub first_holds: usize,
    /// The same, of those that have left a hold unanswered.
    pub repeated_holds: usize,
    /// Time after which such a hold makes room for others: its endpoint may not answer.
    pub first_hold_ms: Millis,
    /// Longest pause before an endpoint that runs nothing is held again. There is nothing to hear from it, and on a large fleet
    /// the holds of all such endpoints keep the holder's processor from callers' work.
    pub max_idle_hold_interval_ms: Millis,
    /// Endpoints for which the pause is a millisecond: on a small fleet it is short, as lost endpoints are found by holds.
    pub idle_endpoints_per_ms: usize,
    /// Pause before a hold that follows an unanswered one.
    pub hold_retry_ms: Millis,
    /// An endpoint that has not answered for this long gets no starts and no longer leases: it has
    /// left a hold unanswered.
    pub silent_ms: Millis,
    /// An endpoint that does not guard its capacity gets no starts if it has not been seen to say anew what it is for
    /// this long. A node works it out from its settings; the default is what their defaults give.
    pub report_age_ms: Millis,
    /// A stop is repeated after this.
    pub stop_retry_ms: Millis,
    /// Pause of starts on an endpoint that refused or left one unanswered.
    pub start_pause_ms: Millis,
    /// Most copies of a start that are sent before the run is withdrawn.
    pub start_copies: u32,
    /// Time left on a ticket for a start to reach the endpoint.
    pub ticket_margin_ms: Millis,
    /// Most endpoints in a call for advice.
    pub advice_endpoints: usize,
    /// Time added to the stated time of a call for advice before it counts as lost.
    pub advice_slack_ms: Millis,
    /// How long a finished job can be asked for.
    pub status_ms: Millis,
    /// Longest time between passes over the open steps when nothing has changed.
    pub pass_ms: Millis,
    /// Most jobs that are remembered because they were cancelled before they came, so that strangers cannot fill
    /// the store: 2,000 small rows, an estimate of far more than come in a wave of cancels.
    pub max_pre_cancelled_jobs: usize,
    /// Most bytes of a row.
    pub row_bytes: usize,
    /// Policies in force.
    pub policies: Policies,
}

impl Limits {
    /// Returns the pause before an endpoint that runs nothing is held again, on a fleet of so many.
    pub(crate) fn idle_hold_interval_ms(&self, endpoints: usize) -> Millis {
        let pause_ms = endpoints / self.idle_endpoints_per_ms.max(1);
        self.max_idle_hold_interval_ms.min(pause_ms as Millis)
    }

    /// Returns when an endpoint was heard whose answer to a hold has come: now, or when the hold was sent if the answer
    /// has lain here since, because this holder stood still. Another incarnation may be there by now.
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
            drift_permille: 20,
            clock_slack_ms: 300,
            commit_gap_ms: 20,
            renew_ms: 150,
            commit_retry_ms: 50,
            commit_copy_ms: 60,
            commit_copies: 8,
            commit_timeout_ms: 1_000,
            commit_rows: 95,
            commit_bytes: 600_000,
            accept_queue: 1_000,
            hold_wait_ms: 600,
            hold_answer_ms: 350,
            hold_gap_ms: 100,
            sensitive_hold_gap_ms: 10,
            first_holds: 128,
            repeated_holds: 32,
            first_hold_ms: 100,
            max_idle_hold_interval_ms: 1_500,
            idle_endpoints_per_ms: 2,
            hold_retry_ms: 200,
            silent_ms: 950,
            report_age_ms: 3_800,
            stop_retry_ms: 300,
            start_pause_ms: 700,
            start_copies: 3,
            ticket_margin_ms: 150,
            advice_endpoints: 100,
            advice_slack_ms: 600,
            status_ms: 150_000,
            pass_ms: 50,
            max_pre_cancelled_jobs: 2_000,
            row_bytes: 65_536,
            policies: Policies::default(),
        }
    }
}
