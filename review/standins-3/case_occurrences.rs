//! All nodes are killed while a repeated job has as many occurrences open as it may.

use std::thread::sleep;
use std::time::Duration;

use crate::nodes::Node;
use crate::{unix_ms, Cell, Verdict, FINISH_MS, STANDS_MS};

/// Kinds of the workers.
pub const KINDS: [&str; 7] = ["a"; 7];

const JOB: &str = "00000000000000c3";
/// The job's steps, one after the other, and their last, which takes long.
const STEPS: usize = 8;
const SHORT_MS: u64 = 60;
const LONG_MS: u64 = 24_000;
const INTERVAL_MS: u64 = 100;
const OCCURRENCES: usize = 136;
/// How long the nodes are away, in milliseconds.
const AWAY_MS: u64 = 5_000;
/// Time after which the case ends.
const END_MS: u64 = 75_000;

pub fn play(cell: &mut Cell) -> Result<Verdict, String> {
    let steps = (0..STEPS).map(|step| {
        let ms = if step + 1 == STEPS { LONG_MS } else { SHORT_MS };
        let after = if step == 0 {
            String::new()
        } else {
            format!(",\"after\":[{}]", step - 1)
        };
        format!("{{\"count\":1,\"cpu\":50,\"mem_mb\":32,\"estimate_ms\":{ms}{after}}}")
    });
    let steps: Vec<String> = steps.collect();
    let works = (0..STEPS).map(|step| if step + 1 == STEPS { LONG_MS } else { SHORT_MS });
    let works: Vec<String> = works.map(|ms| ms.to_string()).collect();
    let body = format!(
        "{{\"spec\":\"{}\",\"steps\":[{}],\"repeat_count\":{OCCURRENCES},\"start_at_ms\":{},\"interval_ms\":{INTERVAL_MS}}}",
        works.join(","),
        steps.join(","),
        unix_ms() + 1_000
    );
    cell.submit(JOB, &body)?;
    let due_ms = cell.record.now_ms() + 1_000 + INTERVAL_MS * OCCURRENCES as u64;
    // All occurrences that may be open are at their last step.
    cell.sleep_until(due_ms + 3_000);
    let running = cell.running(JOB).len();
    cell.record.line(&format!("{running} tasks of the job run"));
    if cell.trouble {
        for node in &mut cell.nodes {
            node.kill();
            cell.record.line(&format!("{} is killed", node.name));
        }
        sleep(Duration::from_millis(AWAY_MS));
        for node in &mut cell.nodes {
            node.start();
            cell.record.line(&format!("{} starts again", node.name));
        }
        wait_until_ready(&cell.nodes)?;
        cell.record.line("all nodes are ready");
    }
    let state = cell.state(JOB);
    cell.record
        .line(&format!("end of the traffic, the job is shown as {state}"));
    let traffic_ms = cell.record.now_ms();
    let mut stands_since = None;
    let mut longest_ms = 0;
    while cell.record.now_ms() < END_MS {
        if cell.record.ends(JOB, "done") >= STEPS * OCCURRENCES {
            break;
        }
        let now = cell.record.now_ms();
        if !cell.running(JOB).is_empty() {
            stands_since = None;
        } else if now >= traffic_ms + FINISH_MS {
            let since = *stands_since.get_or_insert(now);
            longest_ms = longest_ms.max(now - since);
        }
        sleep(Duration::from_millis(20));
    }
    let (starts, ends) = (
        cell.record.starts_since(JOB, traffic_ms),
        cell.record.ends(JOB, "done"),
    );
    sleep(Duration::from_millis(1_000));
    let state = cell.state(JOB);
    let seen = format!(
        "{ends} of {} tasks have ended done, {starts} starts since the end of the traffic, longest time without a run \
         {longest_ms} ms, shown as {state}",
        STEPS * OCCURRENCES
    );
    Ok(if longest_ms >= STANDS_MS {
        Verdict::Broken(format!(
            "LOST: the job stands with all workers free: {seen}"
        ))
    } else {
        Verdict::Held(seen)
    })
}

fn wait_until_ready(nodes: &[Node]) -> Result<(), String> {
    for _ in 0..150 {
        if nodes.iter().all(Node::is_ready) {
            return Ok(());
        }
        sleep(Duration::from_millis(100));
    }
    Err("the nodes are not ready again after 15 s".to_owned())
}
