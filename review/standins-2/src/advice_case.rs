//! A holder that is frozen for a moment loses the group, gets it back at once, and takes the answer to a
//! call for advice of its earlier term for that to another call.

use crate::advice::{Advice, AdviceTerms};
use crate::cluster::{job, sleep_ms, wait_until, Cluster, Queue};
use crate::json::Json;
use crate::record::Record;
use crate::Outcome;

const TERMS: AdviceTerms = AdviceTerms {
    decide_ms: 480.0,
    each_ms: 6.8,
    valid_ms: 1_500,
};
const QUEUE: Queue = Queue {
    name: "rebuild",
    priority: 1,
    attempts: 2,
    target_latency_ms: 1_000,
    advice: Some(TERMS),
};
const URGENT: Queue = Queue {
    name: "urgent",
    priority: 0,
    attempts: 2,
    target_latency_ms: 1_000,
    advice: Some(TERMS),
};
const WORKERS: usize = 100;
const FIRST_JOB: &str = "0000000000000a00";
const SECOND_JOB: &str = "0000000000000b01";
/// Time until a killed process is started again.
const RESTART_MS: u64 = 300;
/// How long a job without a start is watched.
const WATCHED_MS: u64 = 25_000;

/// Each job may run on half of the workers, the other one's half.
fn policy(job: &str, worker: &str) -> bool {
    let even = |text: &str| text.bytes().last().is_some_and(|byte| byte % 2 == 0);
    even(job) == even(worker)
}

fn wide_job() -> Json {
    let step = [
        ("count", 13.into()),
        ("cpu", 2_000.into()),
        ("mem_mb", 1_024.into()),
        ("estimate_ms", 3_000.into()),
    ];
    job("ms=3000", &step)
}

fn accepts(cluster: &Cluster, node: usize, queue: &Queue, id: &str, body: &Json) -> bool {
    let answer = cluster.call(node, "POST", queue, id, Some(body));
    answer.is_some_and(|(status, _)| status == 200)
}

pub fn play(record: Record, trouble: bool) -> Outcome {
    let advice = Advice::new(TERMS, policy, &record);
    let mut cluster = Cluster::open(record.clone(), &[QUEUE, URGENT], 2, Some(advice.clone()));
    for number in 0..WORKERS {
        cluster.add_worker(&format!("i-{number:03}"), 16_000);
    }
    if !cluster.start() {
        return Outcome::Unplayed("the nodes are not ready in time".to_owned());
    }
    sleep_ms(7_000);
    let Some(holder) = cluster.holder() else {
        return Outcome::Unplayed("the holder is not known".to_owned());
    };
    let other = 1 - holder;
    if trouble {
        cluster.signal_node(other, "KILL");
        sleep_ms(RESTART_MS);
    }
    let asked = || {
        advice
            .calls()
            .iter()
            .any(|step| step.starts_with(FIRST_JOB))
    };
    let body = wide_job();
    if !accepts(&cluster, holder, &QUEUE, FIRST_JOB, &body)
        || !wait_until(500, asked)
        || !accepts(&cluster, holder, &URGENT, SECOND_JOB, &body)
    {
        return Outcome::Unplayed("the jobs are not accepted".to_owned());
    }
    let accepted_ms = record.now_ms();
    if trouble {
        cluster.start_node(other);
        let ready = || cluster.nodes[other].is_ready();
        if !wait_until(1_000, ready) {
            return Outcome::Unplayed("the other node is not back in time".to_owned());
        }
        let before = cluster.holder_version();
        cluster.signal_node(holder, "STOP");
        // The frozen node writes no more; what changes the claim now is the other node's claim.
        sleep_ms(50);
        let frozen = cluster.holder_version();
        let claimed = || cluster.holder_version() > frozen;
        let taken = wait_until(2_500, claimed);
        record.line(&format!(
            "claim row: version {before}, {frozen} when frozen, taken over: {taken}"
        ));
        cluster.signal_node(other, "KILL");
        cluster.signal_node(holder, "CONT");
        if !taken {
            return Outcome::Unplayed("the group is not taken over in time".to_owned());
        }
    }
    if trouble {
        sleep_ms(RESTART_MS);
        cluster.start_node(other);
    }
    let task = format!("{SECOND_JOB}.0.0.0");
    let started = wait_until(WATCHED_MS, || !cluster.runs_of(&task).is_empty());
    let state = cluster.state(&URGENT, SECOND_JOB);
    cluster.keep_logs();
    let waited_ms = record.now_ms() - accepted_ms;
    if started {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "LOST: an accepted job has had nothing running for {waited_ms} ms, its state is {state:?}, though half of the workers may run it and are idle"
    ))
}
