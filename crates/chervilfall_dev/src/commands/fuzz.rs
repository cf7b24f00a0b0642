//! Drives the decision core with generated histories until the time is up or a promise breaks.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use chervilfall_fuzz::{
    generate, generate_with_look_ups, run_history, run_traced, shrink, History, Tamper, Violation,
};

use crate::args::Fuzz;

/// Most smaller histories that are tried after a failure.
const SHRINK_TRIES: usize = 3_000;

/// What all threads share.
#[derive(Default)]
struct Progress {
    next: AtomicU64,
    histories: AtomicU64,
    requests: AtomicU64,
    starts: AtomicU64,
    failed: AtomicBool,
    failure: Mutex<Option<(u64, Vec<Violation>)>>,
}

/// Runs histories.
pub(crate) fn run(args: &Fuzz) -> ExitCode {
    if let Some(text) = &args.trace {
        return trace(&history(args, args.seed), text);
    }
    let tamper = match args.tamper.as_deref().map(Tamper::from_name) {
        None => None,
        Some(Some(tamper)) => Some(tamper),
        Some(None) => {
            eprintln!("--tamper is not one of the breaks that --help lists");
            return ExitCode::FAILURE;
        }
    };
    let progress = Progress::default();
    progress.next.store(args.seed, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_secs(args.seconds);
    thread::scope(|scope| {
        for _ in 0..args.threads {
            scope.spawn(|| work(args, &progress, tamper, until));
        }
    });
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    println!(
        "seeds from {}: {} histories, {} requests, {} starts",
        args.seed,
        count(&progress.histories),
        count(&progress.requests),
        count(&progress.starts)
    );
    let failure = progress.failure.into_inner().unwrap_or(None);
    let Some((seed, violations)) = failure else {
        println!("no violation");
        return ExitCode::SUCCESS;
    };
    println!("seed {seed} breaks a promise: {violations:?}");
    if tamper.is_some() {
        return ExitCode::FAILURE;
    }
    let smallest = shrink(history(args, seed), SHRINK_TRIES);
    println!(
        "a smaller history that does so too, with seed {}:",
        smallest.seed
    );
    for step in &smallest.steps {
        println!("  after {} ms {:?}", step.after_ms, step.kind);
    }
    ExitCode::FAILURE
}

/// Returns the history of a seed.
fn history(args: &Fuzz, seed: u64) -> History {
    if args.look_ups {
        return generate_with_look_ups(seed);
    }
    generate(seed)
}

fn work(args: &Fuzz, progress: &Progress, tamper: Option<Tamper>, until: Instant) {
    while Instant::now() < until && !progress.failed.load(Ordering::Relaxed) {
        let seed = progress.next.fetch_add(1, Ordering::Relaxed);
        let report = run_history(&history(args, seed), tamper);
        progress.histories.fetch_add(1, Ordering::Relaxed);
        progress
            .requests
            .fetch_add(report.requests, Ordering::Relaxed);
        progress.starts.fetch_add(report.starts, Ordering::Relaxed);
        if !report.violations.is_empty() {
            progress.failed.store(true, Ordering::Relaxed);
            if let Ok(mut failure) = progress.failure.lock() {
                *failure = Some((seed, report.violations));
            }
        }
    }
}

fn trace(history: &History, text: &str) -> ExitCode {
    let report = run_traced(history, None, Some(text));
    for line in report.trace {
        println!("{line}");
    }
    println!("{:?}", report.violations);
    ExitCode::SUCCESS
}
