//! Prometheus metrics of a planner.

use metrics::{counter, gauge, histogram};

use crate::event::{EndReason, Refusal};
use crate::ids::Millis;
use crate::placed_run::LossReason;

fn seconds(ms: Millis) -> f64 {
    ms as f64 / 1_000.0
}

/// Records the duration of a commit from its first copy to its answer.
pub(crate) fn commit(took_ms: Millis) {
    histogram!("chervilfall_commit_seconds").record(seconds(took_ms));
}

/// Counts a commit that holds only part of the changes that wait, and those that it leaves over.
pub(crate) fn commit_under_pressure(left_submissions: usize, left_progress: usize) {
    counter!("chervilfall_commits_under_pressure_total").increment(1);
    counter!("chervilfall_changes_deferred_total", "kind" => "submission")
        .increment(left_submissions as u64);
    counter!("chervilfall_changes_deferred_total", "kind" => "progress")
        .increment(left_progress as u64);
}

/// Counts a stored submission and records how long storing it took.
pub(crate) fn accepted(waited_ms: Millis) {
    counter!("chervilfall_jobs_accepted_total").increment(1);
    histogram!("chervilfall_accept_seconds").record(seconds(waited_ms));
}

/// Counts a submission that was refused.
pub(crate) fn refused(reason: &'static str) {
    counter!("chervilfall_jobs_refused_total", "reason" => reason).increment(1);
}

/// Records the time from a job's acceptance to its first start, by the queue's priority.
pub(crate) fn first_start(priority: u32, waited_ms: Millis) {
    let priority = priority.to_string();
    histogram!("chervilfall_first_start_seconds", "priority" => priority)
        .record(seconds(waited_ms));
}

/// Records by how much the forecast of a job's first start was off, by the queue's priority. A
/// forecast of 0 is counted only: nothing was known to wait for, and its small error would hide the
/// errors of the others.
pub(crate) fn forecast(priority: u32, forecast_ms: Millis, waited_ms: Millis) {
    let priority = priority.to_string();
    if forecast_ms == 0 {
        counter!("chervilfall_forecasts_without_wait_total", "priority" => priority).increment(1);
        return;
    }
    histogram!("chervilfall_forecast_error_seconds", "priority" => priority)
        .record(seconds(forecast_ms.abs_diff(waited_ms)));
}

/// Maximum number of accounts shown in metrics, because each adds time series of its own.
pub(crate) const MAX_ACCOUNTS: usize = 256;

/// Sets the gauges for the CPU that an account uses and for its quota.
pub(crate) fn account(name: &str, used_cpu_milli: u64, quota_cpu_milli: u64) {
    gauge!("chervilfall_account_cpu_milli", "account" => name.to_owned())
        .set(used_cpu_milli as f64);
    gauge!("chervilfall_account_quota_cpu_milli", "account" => name.to_owned())
        .set(quota_cpu_milli as f64);
}

/// Sets the gauge for the CPU that an account's inherited tasks may use without having been found.
pub(crate) fn unconfirmed(name: &str, cpu_milli: u64) {
    gauge!("chervilfall_account_unconfirmed_cpu_milli", "account" => name.to_owned())
        .set(cpu_milli as f64);
}

/// Sets the gauge for an account's usage in tenths of its fair share.
pub(crate) fn share_level(name: &str, tenths: u32) {
    gauge!("chervilfall_account_share_tenths", "account" => name.to_owned()).set(f64::from(tenths));
}

/// Sets the gauge for how long a failure domain has been evacuated, to 0 if it no longer is.
pub(crate) fn evacuation(domain: &str, for_ms: Option<Millis>) {
    gauge!("chervilfall_evacuated_seconds", "domain" => domain.to_owned())
        .set(seconds(for_ms.unwrap_or(0)));
}

/// Counts a run that was stopped because its endpoint departs.
pub(crate) fn departure_stop(step: &'static str) {
    counter!("chervilfall_departure_stops_total", "kind" => step).increment(1);
}

/// Counts an endpoint that was quarantined because it fails part of its runs.
pub(crate) fn quarantined_by_share() {
    counter!("chervilfall_quarantines_by_share_total").increment(1);
}

/// Counts a start.
pub(crate) fn start() {
    counter!("chervilfall_starts_total").increment(1);
}

/// Counts tasks placed for work that has no worth left.
pub(crate) fn overdue_starts(tasks: usize) {
    counter!("chervilfall_overdue_starts_total").increment(tasks as u64);
}

/// Counts a start that was refused.
pub(crate) fn start_refused(refusal: Refusal) {
    let reason = match refusal {
        Refusal::Fence => "fence",
        Refusal::Old => "old",
        Refusal::Late => "late",
        Refusal::Room => "room",
        Refusal::Ticket => "ticket",
        Refusal::Unhealthy => "unhealthy",
        Refusal::Malformed => "malformed",
    };
    counter!("chervilfall_starts_refused_total", "reason" => reason).increment(1);
}

/// Counts a start or stop that was not answered.
pub(crate) fn unanswered(order: &'static str) {
    counter!("chervilfall_orders_unanswered_total", "order" => order).increment(1);
}

/// Counts the end of a run.
pub(crate) fn ended(how: EndReason) {
    let how = match how {
        EndReason::Done => "done",
        EndReason::Failed => "failed",
        EndReason::Stopped => "stopped",
        EndReason::Lapsed => "lapsed",
        EndReason::Broken => "broken",
        EndReason::Alone => "alone",
    };
    counter!("chervilfall_runs_ended_total", "how" => how).increment(1);
}

/// Records the duration of an advice call.
pub(crate) fn advice(took_ms: Millis, answered: bool) {
    let outcome = if answered { "answered" } else { "failed" };
    histogram!("chervilfall_advice_seconds", "outcome" => outcome).record(seconds(took_ms));
}

/// Counts the endpoints that a call for advice names.
pub(crate) fn advice_endpoints_named(endpoints: usize) {
    counter!("chervilfall_advice_endpoints_total", "kind" => "named").increment(endpoints as u64);
}

/// Counts the endpoints that a call for advice leaves out, because the tasks do not need them.
pub(crate) fn advice_endpoints_spared(endpoints: usize) {
    counter!("chervilfall_advice_endpoints_total", "kind" => "spared").increment(endpoints as u64);
}

/// Sets the gauge for the share of the endpoints that the advice service grants steps of a queue.
pub(crate) fn advice_granted_share(queue: &str, share: f64) {
    gauge!("chervilfall_advice_granted_share", "queue" => queue.to_owned()).set(share);
}

/// Counts a call for which a gang's capacity was to be kept, by outcome.
pub(crate) fn gang_call_hold(outcome: &'static str) {
    counter!("chervilfall_gang_call_holds_total", "outcome" => outcome).increment(1);
}

/// Sets the gauge for the CPU that is kept in a pool while calls renew the tickets of gangs.
pub(crate) fn gang_call_held(service: &str, cpu_milli: u64) {
    gauge!("chervilfall_gang_call_held_cpu_milli", "service" => service.to_owned())
        .set(cpu_milli as f64);
}

/// Counts an answer of the advice service that may belong to another question.
pub(crate) fn advice_in_doubt(cause: &'static str) {
    counter!("chervilfall_advice_in_doubt_total", "cause" => cause).increment(1);
}

/// Counts an ejection of a node whose advice calls fail.
pub(crate) fn advice_node_ejected() {
    counter!("chervilfall_advice_node_ejections_total").increment(1);
}

/// Counts a gang whose deadline has passed, by width and by whether and why it was missed.
pub(crate) fn gang_deadline(width: &'static str, deadline: &'static str, outcome: &'static str) {
    counter!(
        "chervilfall_gang_deadlines_total",
        "width" => width, "deadline" => deadline, "outcome" => outcome
    )
    .increment(1);
}

/// Adds the time that a gang had waited for a cause when it missed a deadline, by width.
pub(crate) fn gang_wait(width: &'static str, cause: &'static str, waited_ms: Millis) {
    counter!("chervilfall_gang_wait_milliseconds_total", "width" => width, "cause" => cause)
        .increment(waited_ms);
}

/// Counts an endpoint whose leases have lapsed.
pub(crate) fn lapsed() {
    counter!("chervilfall_endpoints_lapsed_total").increment(1);
}

/// Counts an endpoint that has restarted under the same name.
pub(crate) fn started_again() {
    counter!("chervilfall_endpoints_started_again_total").increment(1);
}

/// Counts a run that its endpoint lists neither as running nor as ended.
pub(crate) fn run_missing() {
    counter!("chervilfall_runs_not_there_total").increment(1);
}

/// Counts a list that may lack ends.
pub(crate) fn list_cut_off() {
    counter!("chervilfall_lists_cut_off_total").increment(1);
}

/// Counts a run lost with its endpoint.
pub(crate) fn run_lost(reason: LossReason) {
    counter!("chervilfall_runs_lost_total", "reason" => reason.label()).increment(1);
}

/// Counts a row of the roster that is too large to be stored.
pub(crate) fn roster_row_too_large() {
    counter!("chervilfall_roster_rows_too_large_total").increment(1);
}

/// Counts a job that was given up.
pub(crate) fn given_up(reason: &'static str) {
    counter!("chervilfall_jobs_given_up_total", "reason" => reason).increment(1);
}

/// Records how long callers were without service at a takeover, by the event that ended the gap.
pub(crate) fn resumed(milestone: &'static str, gap_ms: Millis) {
    histogram!("chervilfall_takeover_seconds", "until" => milestone).record(seconds(gap_ms));
}

/// Counts a takeover.
pub(crate) fn takeover() {
    counter!("chervilfall_takeovers_total").increment(1);
}

/// Sets the gauge for the number of steps that wait for a cause, by the queue's priority.
pub(crate) fn waiting_steps(cause: &'static str, priority: u32, steps: usize) {
    let priority = priority.to_string();
    gauge!("chervilfall_waiting_steps", "cause" => cause, "priority" => priority).set(steps as f64);
}

/// Sets the gauges for the number of steps that stand still, and for how long the longest does.
pub(crate) fn standing_steps(steps: usize, longest_ms: Millis) {
    gauge!("chervilfall_standing_steps").set(steps as f64);
    gauge!("chervilfall_standing_longest_seconds").set(seconds(longest_ms));
}

/// Counts endpoints that an examined step passes over, by reason.
pub(crate) fn standing_passed_over(reason: &'static str, endpoints: usize) {
    counter!("chervilfall_standing_passed_over_total", "reason" => reason)
        .increment(endpoints as u64);
}

/// Counts a pass that was skipped as a whole.
pub(crate) fn pass_skipped(cause: &'static str) {
    counter!("chervilfall_passes_skipped_total", "cause" => cause).increment(1);
}

/// Sets the gauges for open steps, unsaved jobs and the age of the claim.
pub(crate) fn queues(open_steps: usize, unsaved_jobs: usize, claim_age_ms: Millis) {
    gauge!("chervilfall_open_steps").set(open_steps as f64);
    gauge!("chervilfall_unsaved_jobs").set(unsaved_jobs as f64);
    gauge!("chervilfall_claim_age_seconds").set(seconds(claim_age_ms));
}
