//! A job that recurs often, beside other jobs.

use std::path::Path;
use std::time::Duration;

use crate::cell::Cell;
use crate::client::{job, Clients, Schedule, Step};
use crate::record::Record;
use crate::Verdict;

/// The job that recurs.
const ID: &str = "5c0e7a21d94b36f8";
/// Its occurrences: in the case, and without the disruption.
const MANY: u64 = 2_400;
const FEW: u64 = 300;
/// Time between two of them.
const INTERVAL_MS: u64 = 25;
/// Its only step: a task of half a core that works for 0.05 s.
const STEP: Step = Step {
    count: 1,
    cpu: 500,
    work_ms: 50,
};
/// The other jobs: two tasks of a core that work for a second, one job a second.
const OTHER: Step = Step {
    count: 2,
    cpu: 1_000,
    work_ms: 1_000,
};
const OTHERS_INTERVAL: Duration = Duration::from_millis(900);
/// Until when jobs are handed in.
const TRAFFIC_MS: u64 = 64_000;
/// Time from the end of the traffic until jobs are asked for: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

pub fn play(trouble: bool, settings: &Path, record: &Record) -> Result<Verdict, String> {
    let mut cell = Cell::open(settings, record, 3, 4)?;
    let clients = Clients::of(&cell);
    let schedule = Schedule {
        count: if trouble { MANY } else { FEW },
        interval_ms: INTERVAL_MS,
    };
    if !clients.submit(ID, &job(&STEP, Some(&schedule)), 10) {
        return Err("the job is not accepted".to_owned());
    }
    let mut accepted = vec![ID.to_owned()];
    let mut asked = 1;
    while record.now_ms() < TRAFFIC_MS {
        let id = format!("{:016x}", 0xa000 + asked);
        asked += 1;
        if clients.submit(&id, &job(&OTHER, None), 2) {
            accepted.push(id);
        }
        if asked % 5 == 0 {
            record.say(&format!(
                "{} of {asked} jobs accepted, longest row of progress {} bytes, {} ends not taken note of",
                accepted.len(),
                cell.store.longest_value("progress"),
                waiting_ends(&cell),
            ));
        }
        std::thread::sleep(OTHERS_INTERVAL);
    }
    std::thread::sleep(FINISH);
    let ran = cell.nodes.iter_mut().all(|node| node.runs());
    record.say(&format!("all processes run: {ran}"));
    let states = accepted.iter().map(|id| (id, clients.state(id, 3)));
    let open: Vec<_> = states
        .filter(|(_, state)| state.as_deref() != Some("completed"))
        .collect();
    for (id, state) in open.iter().take(5) {
        record.say(&format!("{id} is shown as {state:?}"));
    }
    record.say(&format!(
        "{asked} jobs handed in, {} accepted, {} of these not completed",
        accepted.len(),
        open.len()
    ));
    Ok(check_acks(&cell, record))
}

/// Returns the number of ends that the workers list and that are not taken note of.
fn waiting_ends(cell: &Cell) -> usize {
    cell.workers
        .iter()
        .map(|worker| worker.waiting_ends())
        .sum()
}

/// Checks the rule Acks: no more than a fifth of the ends that the workers list are not taken note
/// of, after a stretch without disruption of more than `ack_ms`.
fn check_acks(cell: &Cell, record: &Record) -> Verdict {
    let runs = cell.workers.iter().flat_map(|worker| worker.runs());
    let listed = runs.filter(|run| run.ended_ms.is_some()).count();
    let waiting = waiting_ends(cell);
    record.say(&format!(
        "{waiting} of {listed} ends that the workers list are not taken note of"
    ));
    if waiting * 5 > listed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
