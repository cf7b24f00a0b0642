//! A job that recurs often, beside other jobs, of which one is cancelled.

use std::path::Path;
use std::time::Duration;

use crate::cell::Cell;
use crate::client::{chain, job, Clients, Schedule, Step, Work};
use crate::record::Record;
use crate::worker::Run;
use crate::Verdict;

/// The job that recurs.
const ID: &str = "5c0e7a21d94b36f8";
/// Its occurrences: in the case, and without the disruption.
const MANY: u64 = 350;
const FEW: u64 = 60;
/// Time between two of them.
const INTERVAL_MS: u64 = 200;
/// Its steps, one after the other.
const STEPS: u64 = 8;
/// Each of them: a task of half a core that works for 0.05 s.
const STEP: Step = Step {
    count: 1,
    cpu: 500,
    work: Work::Batch { work_ms: 50 },
};
/// The other jobs: two tasks of a core that work for a second, one job a second.
const OTHER: Step = Step {
    count: 2,
    cpu: 1_000,
    work: Work::Batch { work_ms: 1_000 },
};
const OTHERS_INTERVAL: Duration = Duration::from_millis(900);
/// The job that is cancelled: four tasks of a core that work for a minute.
const CANCELLED_ID: &str = "973377b91a630fb6";
const CANCELLED: Step = Step {
    count: 4,
    cpu: 1_000,
    work: Work::Batch { work_ms: 60_000 },
};
/// When it is cancelled.
const CANCEL_AT_MS: u64 = 44_000;
/// How often its client asks for that.
const CANCEL_ATTEMPTS: usize = 4;
/// Until when jobs are handed in.
const TRAFFIC_MS: u64 = 70_000;
/// Bounds of the site: `ack_ms`, `cancel_ms` and `stop_ms`.
const ACK_MS: u64 = 4_000;
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 200;

pub fn play(trouble: bool, settings: &Path, record: &Record) -> Result<Verdict, String> {
    let mut cell = Cell::open(settings, record, 3, 4)?;
    let clients = Clients::of(&cell);
    let schedule = Schedule {
        count: if trouble { MANY } else { FEW },
        interval_ms: INTERVAL_MS,
    };
    let accepted = clients.submit(ID, &chain(&STEP, STEPS, Some(&schedule)), 10)
        && clients.submit(CANCELLED_ID, &job(&CANCELLED), 10);
    if !accepted {
        return Err("the first jobs are not accepted".to_owned());
    }
    let canceller = clients.clone();
    let clock = record.clone();
    let cancel = std::thread::spawn(move || {
        let wait_ms = CANCEL_AT_MS.saturating_sub(clock.now_ms());
        std::thread::sleep(Duration::from_millis(wait_ms));
        let sent_ms = clock.now_ms();
        clock.say(&format!("{CANCELLED_ID} is cancelled"));
        let acknowledged = canceller.cancel(CANCELLED_ID, CANCEL_ATTEMPTS);
        clock.say(&format!("acknowledged: {acknowledged}"));
        let noted_ms = if acknowledged {
            clock.now_ms()
        } else {
            sent_ms + ACK_MS
        };
        noted_ms.min(sent_ms + ACK_MS)
    });
    hand_in_others(&cell, &clients, record);
    let cancelled_ms = cancel.join().map_err(|_| "the client ends".to_owned())?;
    let ran = cell.nodes.iter_mut().all(|node| node.runs());
    let state = clients.state(ID, 3);
    record.say(&format!(
        "all processes run: {ran}; {ID} is shown as {state:?}"
    ));
    let runs = cell.workers.iter().flat_map(|worker| worker.runs());
    let ended = runs.filter(|run| run.ended_ms.is_some()).count();
    record.say(&format!(
        "{} of {ended} ends that the workers list are not taken note of",
        waiting_ends(&cell)
    ));
    Ok(check_cancelled(&cell, cancelled_ms, record))
}

fn hand_in_others(cell: &Cell, clients: &Clients, record: &Record) {
    let (mut asked, mut accepted) = (0, 0);
    while record.now_ms() < TRAFFIC_MS {
        asked += 1;
        let id = format!("{:016x}", 0xa000 + asked);
        accepted += u64::from(clients.submit(&id, &job(&OTHER), 2));
        if asked % 5 == 0 {
            record.say(&format!(
                "{accepted} of {asked} other jobs accepted, longest row of progress {} bytes, {} ends not taken note of",
                cell.store.longest_value("progress"),
                waiting_ends(cell),
            ));
        }
        std::thread::sleep(OTHERS_INTERVAL);
    }
}

/// Returns the number of ends that the workers list and that are not taken note of.
fn waiting_ends(cell: &Cell) -> usize {
    cell.workers
        .iter()
        .map(|worker| worker.waiting_ends())
        .sum()
}

/// Checks the rule UNASKED for the job that was cancelled: none of its tasks starts later than
/// `cancel_ms` after the cancelling was acknowledged or had waited `ack_ms` for that, and none runs
/// on `stop_ms` after that.
fn check_cancelled(cell: &Cell, cancelled_ms: u64, record: &Record) -> Verdict {
    let from_ms = cancelled_ms + CANCEL_MS;
    let runs = cell.workers.iter().flat_map(|worker| worker.runs());
    let runs: Vec<Run> = runs
        .filter(|run| run.task.starts_with(CANCELLED_ID))
        .collect();
    let late = runs.iter().filter(|run| {
        let runs_on = run
            .ended_ms
            .is_none_or(|ended_ms| ended_ms > from_ms + STOP_MS);
        run.began_ms > from_ms || runs_on
    });
    let late: Vec<&Run> = late.collect();
    for run in late.iter().take(8) {
        record.say(&format!(
            "UNASKED: {} run {} on {} from {} to {:?}, later than {from_ms}",
            run.task, run.run, run.worker, run.began_ms, run.ended_ms
        ));
    }
    record.say(&format!(
        "{} runs of the cancelled job, {} of them break UNASKED",
        runs.len(),
        late.len()
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
