//! Plays one case of the review: `review-case CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod advice;
mod advice_case;
mod barrier_case;
mod cluster;
mod http;
mod isolation_case;
mod json;
mod lasting;
mod record;
mod restart_case;
mod store;
mod worker;

use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken: what was seen.
    Broken(String),
    /// The case could not run, and why.
    Unplayed(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(path);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let outcome = match case.as_str() {
        "advice" => advice_case::play(record.clone(), trouble),
        "restarts" => restart_case::play(record.clone(), trouble),
        "isolation" => isolation_case::play(record.clone(), trouble),
        "barrier" => barrier_case::play(record.clone(), trouble),
        _ => Outcome::Unplayed("no such case".to_owned()),
    };
    let (line, status) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken(seen) => (format!("BROKEN: {seen}"), 1),
        Outcome::Unplayed(why) => (format!("not played: {why}"), 2),
    };
    record.line(&line);
    println!("{line}");
    ExitCode::from(status)
}
