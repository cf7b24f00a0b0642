//! Status of the control thread's load.

use std::time::{Duration, Instant};

use chervilfall_kernel::Work;
use chervilfall_node::{ControlLoad, LoadStatus, WorkKind};

const fn work(events: usize, waiting: usize, took_ms: u64) -> Work {
    Work {
        events,
        waiting,
        took: Duration::from_millis(took_ms),
    }
}

#[test]
fn the_status_reports_the_load_of_the_thread() {
    struct Case {
        name: &'static str,
        work: Vec<Work>,
        probe_ages_ms: Vec<u64>,
        kinds_ms: Vec<(WorkKind, u64)>,
        commit_waits_ms: Vec<u64>,
        passed_ms: u64,
        status: Option<LoadStatus>,
    }
    let cases = [
        Case {
            name: "too soon",
            work: vec![work(3, 0, 400)],
            probe_ages_ms: vec![1],
            kinds_ms: Vec::new(),
            commit_waits_ms: Vec::new(),
            passed_ms: 999,
            status: None,
        },
        Case {
            name: "idle",
            work: Vec::new(),
            probe_ages_ms: vec![0],
            kinds_ms: Vec::new(),
            commit_waits_ms: Vec::new(),
            passed_ms: 1_000,
            status: Some(LoadStatus {
                busy_percent: 0,
                events: 0,
                most_waiting: 0,
                max_queue_age_ms: 0,
                mean_queue_age_ms: Some(0),
                covers_ms: 1_000,
                max_stretch_ms: 0,
                kinds_ms: [0; 7],
                max_commit_wait_ms: 0,
            }),
        },
        Case {
            name: "no probe was taken from the queue",
            work: vec![work(1, 0, 1_200)],
            probe_ages_ms: Vec::new(),
            kinds_ms: Vec::new(),
            commit_waits_ms: Vec::new(),
            passed_ms: 1_200,
            status: Some(LoadStatus {
                busy_percent: 100,
                events: 1,
                most_waiting: 0,
                max_queue_age_ms: 0,
                mean_queue_age_ms: None,
                covers_ms: 1_200,
                max_stretch_ms: 1_200,
                kinds_ms: [0; 7],
                max_commit_wait_ms: 0,
            }),
        },
        Case {
            name: "falling behind",
            work: vec![work(256, 700, 300), work(0, 900, 20), work(256, 400, 640)],
            probe_ages_ms: vec![80, 350, 120],
            kinds_ms: vec![
                (WorkKind::Endpoints, 200),
                (WorkKind::Ticks, 20),
                (WorkKind::Endpoints, 140),
            ],
            commit_waits_ms: vec![3, 70, 12],
            passed_ms: 1_000,
            status: Some(LoadStatus {
                busy_percent: 96,
                events: 512,
                most_waiting: 900,
                max_queue_age_ms: 350,
                mean_queue_age_ms: Some(183),
                covers_ms: 1_000,
                max_stretch_ms: 640,
                kinds_ms: [0, 340, 0, 0, 0, 0, 20],
                max_commit_wait_ms: 70,
            }),
        },
    ];
    for case in cases {
        let began = Instant::now();
        let mut load = ControlLoad::new(began);
        for work in case.work {
            load.add(work);
        }
        for age_ms in case.probe_ages_ms {
            load.record_queue_age(Duration::from_millis(age_ms));
        }
        for (kind, took_ms) in case.kinds_ms {
            load.add_kind(kind, Duration::from_millis(took_ms));
        }
        for waited_ms in case.commit_waits_ms {
            load.record_commit_wait(Duration::from_millis(waited_ms));
        }
        let now = began + Duration::from_millis(case.passed_ms);
        assert_eq!(load.status(now), case.status, "{}", case.name);
        assert_eq!(load.status(now), None, "{}: starts over", case.name);
    }
}
