//! Names of requests and answers in logs and metrics.

use chervilfall_planner::{Answer, Request};

/// Returns whether an answer says that a request was not carried out, or that this is unknown.
pub(super) const fn is_failure(answer: Answer) -> bool {
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

/// Returns the name of a kind of request.
pub(super) const fn kind(request: &Request) -> &'static str {
    match request {
        Request::Submit { .. } => "submit",
        Request::State { .. } => "state",
        Request::Cancel { .. } => "cancel",
        Request::Waiting { .. } => "waiting",
    }
}

/// Returns the name of an answer.
pub(super) const fn label(answer: Answer) -> &'static str {
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
