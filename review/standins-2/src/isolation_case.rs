//! Two workers crash some seconds apart, each with the same lasting task.

use crate::cluster::{job, sleep_ms, wait_until, Cluster, Queue};
use crate::lasting::{standstill, Judged};
use crate::record::Record;
use crate::Outcome;

const QUEUE: Queue = Queue {
    name: "services",
    priority: 0,
    attempts: 2,
    target_latency_ms: 1_000,
    advice: None,
};
const WORKERS: usize = 9;
const WORKER_CPU: u64 = 16_000;
const TASK_CPU: u64 = 1_000;
/// A service with two tasks on each worker's worth of room.
const OTHERS: u64 = 18;
const OTHER_JOB: &str = "0000000000000a01";
const JOB: &str = "5c0e7a21d94b36f8";

fn service(count: u64) -> crate::json::Json {
    let step = [
        ("count", count.into()),
        ("cpu", TASK_CPU.into()),
        ("mem_mb", 512.into()),
        ("estimate_ms", 60_000.into()),
        ("anti_affinity", 2.into()),
        ("long_running", crate::json::Json::Bool(true)),
    ];
    job("lasts", &step)
}

pub fn play(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::open(record.clone(), &[QUEUE], 3, None);
    for number in 0..WORKERS {
        cluster.add_worker(&format!("i-{number}"), WORKER_CPU);
    }
    if !cluster.start() {
        return Outcome::Unplayed("the nodes are not ready in time".to_owned());
    }
    sleep_ms(3_000);
    let accepted = cluster.submit(&QUEUE, OTHER_JOB, &service(OTHERS))
        && cluster.submit(&QUEUE, JOB, &service(1));
    let task = format!("{JOB}.0.0.0");
    let runs = || cluster.worker_of(&task).is_some();
    if !accepted || !wait_until(5_000, runs) {
        return Outcome::Unplayed("the services do not run".to_owned());
    }
    sleep_ms(4_000);
    let mut disruptions = Vec::new();
    if trouble {
        for _ in 0..2 {
            if !wait_until(10_000, || cluster.worker_of(&task).is_some()) {
                return Outcome::Unplayed("the task does not run again".to_owned());
            }
            sleep_ms(4_000);
            let now_ms = record.now_ms();
            if let Some(worker) = cluster.worker_of(&task).cloned() {
                worker.crash();
            }
            disruptions.push((now_ms, record.now_ms()));
            sleep_ms(500);
        }
    }
    sleep_ms(20_000);
    cluster.keep_logs();
    let judged = Judged {
        cluster: &cluster,
        task: &task,
        disruptions: &disruptions,
        until_ms: record.now_ms(),
        task_cpu: TASK_CPU,
    };
    match standstill(&judged, &record) {
        Some(seen) => Outcome::Broken(seen),
        None => Outcome::Held,
    }
}
