//! A worker is lost for good, and a tenth of a second later the node that holds the group is killed.

use crate::cluster::{job, sleep_ms, wait_until, Cluster, Queue};
use crate::json::Json;
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
const WORKERS: usize = 8;
const WORKER_CPU: u64 = 16_000;
const TASK_CPU: u64 = 1_000;
const JOB: &str = "5c0e7a21d94b36f8";
/// Time from the loss of the worker to that of the node.
const APART_MS: u64 = 100;
/// Time until the killed process is started again.
const RESTART_MS: u64 = 1_000;

pub fn play(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::open(record.clone(), &[QUEUE], 3, None);
    for number in 0..WORKERS {
        cluster.add_worker(&format!("i-{number}"), WORKER_CPU);
    }
    if !cluster.start() {
        return Outcome::Unplayed("the nodes are not ready in time".to_owned());
    }
    sleep_ms(6_000);
    let step = [
        ("count", 2.into()),
        ("cpu", TASK_CPU.into()),
        ("mem_mb", 512.into()),
        ("estimate_ms", 60_000.into()),
        ("anti_affinity", 1.into()),
        ("long_running", Json::Bool(true)),
    ];
    let accepted = cluster.submit(&QUEUE, JOB, &job("lasts", &step));
    let task = format!("{JOB}.0.0.0");
    if !accepted || !wait_until(5_000, || cluster.worker_of(&task).is_some()) {
        return Outcome::Unplayed("the service does not run".to_owned());
    }
    sleep_ms(5_000);
    let mut disruptions = Vec::new();
    if trouble {
        let Some(holder) = cluster.holder() else {
            return Outcome::Unplayed("the holder is not known".to_owned());
        };
        let now_ms = record.now_ms();
        if let Some(worker) = cluster.worker_of(&task).cloned() {
            worker.crash();
        }
        sleep_ms(APART_MS);
        cluster.signal_node(holder, "KILL");
        sleep_ms(RESTART_MS);
        cluster.start_node(holder);
        disruptions.push((now_ms, record.now_ms()));
    }
    sleep_ms(16_000);
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
