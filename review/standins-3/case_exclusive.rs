//! A worker of its kind crashes twice. The task that lasts on it comes back, and keeps the whole worker.

use std::thread::sleep;
use std::time::Duration;

use crate::{Cell, Verdict, FINISH_MS, STANDS_MS};

/// Kinds of the workers: one of 24 (0.042) is of the kind that both jobs require.
const WORKERS: usize = 24;
pub const KINDS: [&str; WORKERS] = {
    let mut kinds = ["a"; WORKERS];
    kinds[0] = "b";
    kinds
};

/// The job that lasts, and the one that is handed in when all is calm again.
const LASTING: &str = "00000000000000a1";
const BATCH: &str = "00000000000000b2";
/// How long a crashed worker is away, in milliseconds.
const AWAY_MS: u64 = 2_000;
/// Time for which the lasting task is at work before the next crash.
const AT_WORK_MS: u64 = 3_000;
/// Time without any disruption before the batch job is handed in.
const CALM_MS: u64 = 15_000;

pub fn play(cell: &mut Cell) -> Result<Verdict, String> {
    let lasting = r#"{"spec":"0","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":1000,"requires":"b","long_running":true}]}"#;
    cell.submit(LASTING, lasting)?;
    cell.wait_for_running(LASTING, 1, 5_000)?;
    for _ in 0..2 {
        sleep(Duration::from_millis(AT_WORK_MS));
        if cell.trouble {
            cell.workers[0].crash();
            sleep(Duration::from_millis(AWAY_MS));
            cell.workers[0].start();
            cell.wait_for_running(LASTING, 1, 20_000)?;
        }
    }
    cell.record.line("calm from here on");
    sleep(Duration::from_millis(CALM_MS));
    let batch = r#"{"spec":"1000","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":1000,"requires":"b"}]}"#;
    cell.submit(BATCH, batch)?;
    let sent_ms = cell.record.now_ms();
    cell.state(BATCH);
    cell.record.line("end of the traffic");
    let until_ms = sent_ms + FINISH_MS + STANDS_MS + 15_000;
    while cell.record.now_ms() < until_ms && cell.record.ends(BATCH, "done") < 2 {
        sleep(Duration::from_millis(50));
    }
    let waited_ms = cell.record.now_ms() - sent_ms;
    let starts = cell.record.starts_since(BATCH, 0);
    let beside = cell.running(LASTING);
    let state = cell.state(BATCH);
    if starts > 0 {
        return Ok(Verdict::Held(format!(
            "the job began and is shown as {state}"
        )));
    }
    Ok(Verdict::Broken(format!(
        "LOST: nothing of the job has run for {waited_ms} ms, it is shown as {state}, while its only worker uses 500 of \
         16000 for {beside:?}"
    )))
}
