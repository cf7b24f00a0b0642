//! The one worker that the last step of a repeated job needs is lost for a while, and the job is given up.

use std::thread::sleep;
use std::time::Duration;

use crate::{unix_ms, Cell, Verdict};

/// Kinds of the workers: one of 24 (0.042) is of the kind that the last step requires.
const WORKERS: usize = 24;
pub const KINDS: [&str; WORKERS] = {
    let mut kinds = ["a"; WORKERS];
    kinds[0] = "b";
    kinds
};

const JOB: &str = "00000000000000e5";
/// The job's steps: all side by side but for the last, which comes after all others.
const STEPS: usize = 64;
const WORK_MS: u64 = 100;
const INTERVAL_MS: u64 = 200;
const OCCURRENCES: usize = 90;
/// When the worker is lost, after the first occurrence is due, and for how long.
const LOST_AT_MS: u64 = 9_000;
const AWAY_MS: u64 = 3_900;
/// Time after which the case ends.
const END_MS: u64 = 60_000;

pub fn play(cell: &mut Cell) -> Result<Verdict, String> {
    let steps = (0..STEPS).map(|step| {
        let last = step + 1 == STEPS;
        let after: Vec<String> = (0..step).map(|step| step.to_string()).collect();
        let more = if last {
            format!(",\"after\":[{}],\"requires\":\"b\"", after.join(","))
        } else {
            String::new()
        };
        format!("{{\"count\":1,\"cpu\":100,\"mem_mb\":32,\"estimate_ms\":{WORK_MS}{more}}}")
    });
    let steps: Vec<String> = steps.collect();
    let works = vec![WORK_MS.to_string(); STEPS];
    let body = format!(
        "{{\"spec\":\"{}\",\"steps\":[{}],\"repeat_count\":{OCCURRENCES},\"start_at_ms\":{},\"interval_ms\":{INTERVAL_MS}}}",
        works.join(","),
        steps.join(","),
        unix_ms() + 1_000
    );
    cell.submit(JOB, &body)?;
    let due_ms = cell.record.now_ms() + 1_000;
    cell.sleep_until(due_ms + LOST_AT_MS);
    if cell.trouble {
        cell.workers[0].crash();
        cell.sleep_until(due_ms + LOST_AT_MS + AWAY_MS);
        cell.workers[0].start();
    }
    while cell.record.now_ms() < END_MS && cell.record.ends(JOB, "done") < STEPS * OCCURRENCES {
        sleep(Duration::from_millis(1_000));
        if cell.state(JOB) == "failed" {
            let (done, failed) = (
                cell.record.ends(JOB, "done"),
                cell.record.ends(JOB, "failed"),
            );
            return Ok(Verdict::Broken(format!(
                "LOST: the job is shown as failed, {failed} runs of it have ended failed, {done} of {} tasks have ended done",
                STEPS * OCCURRENCES
            )));
        }
    }
    sleep(Duration::from_millis(1_000));
    let (state, done) = (cell.state(JOB), cell.record.ends(JOB, "done"));
    Ok(Verdict::Held(format!(
        "{done} of {} tasks have ended done, shown as {state}",
        STEPS * OCCURRENCES
    )))
}
