//! Plays a case of the review against real nodes: `review-standins CASE FOLDER`.
//!
//! It writes `record.txt` into the folder and exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` it plays the case without the disruption.

mod base64;
mod cases;
mod cell;
mod client;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Longest time that a case may run.
const MAX_RUN: Duration = Duration::from_secs(117);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::open(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let settings = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&settings) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    end_in_time(&record);
    let verdict = cases::play(case, trouble, &settings, &record);
    let keeps_logs = std::env::var("KEEP_LOGS").as_deref() == Ok("1");
    if keeps_logs {
        println!("logs of the nodes: {}", settings.display());
    } else {
        let _ = std::fs::remove_dir_all(&settings);
    }
    match verdict {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was BROKEN");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

/// Ends all processes, and this one, if the case takes too long.
fn end_in_time(record: &Record) {
    let record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(MAX_RUN);
        record.say("the case could not run: it takes too long");
        cell::kill_all();
        std::process::exit(2);
    });
}
