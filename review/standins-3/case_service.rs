//! The workers crash one after the other, and a job that lasts is shown as failed.

use std::thread::sleep;
use std::time::Duration;

use crate::{Cell, Verdict};

/// Kinds of the workers.
pub const KINDS: [&str; 8] = ["a"; 8];

const LASTING: &str = "00000000000000d4";
/// Time from one crash to the next, and how long a worker is away.
const GAP_MS: u64 = 6_000;
const AWAY_MS: u64 = 4_000;
/// Time after which the case ends.
const END_MS: u64 = 100_000;

pub fn play(cell: &mut Cell) -> Result<Verdict, String> {
    let lasting = r#"{"spec":"0","steps":[{"count":3,"cpu":500,"mem_mb":256,"estimate_ms":1000,"long_running":true}]}"#;
    cell.submit(LASTING, lasting)?;
    cell.wait_for_running(LASTING, 3, 5_000)?;
    sleep(Duration::from_millis(3_000));
    for round in 0..14 {
        let worker = round % cell.workers.len();
        let began = cell.record.now_ms();
        if began + GAP_MS > END_MS - 12_000 {
            break;
        }
        if cell.trouble {
            cell.workers[worker].crash();
            cell.sleep_until(began + AWAY_MS);
            cell.workers[worker].start();
        }
        cell.sleep_until(began + GAP_MS);
        let state = cell.state(LASTING);
        if state == "failed" {
            let failed = cell.record.ends(LASTING, "failed");
            return Ok(Verdict::Broken(format!(
                "LOST: a job that lasts is shown as failed after {} crashes of workers, {failed} runs of it have ended failed",
                round + 1
            )));
        }
    }
    sleep(Duration::from_millis(8_000));
    let state = cell.state(LASTING);
    let running = cell.running(LASTING).len();
    Ok(Verdict::Held(format!(
        "the job is shown as {state}, {running} of its 3 tasks run"
    )))
}
