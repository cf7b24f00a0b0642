//! Starts a cell, offers load, prints what it did and cost, and audits it.

use std::num::NonZeroU64;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use chervilfall_cell::{audit, Audit, Cell, CellOptions, EntryUsage, PackingSample, UsageMeter};
use chervilfall_client::RpcClient;
use chervilfall_load::{finish_jobs, plan, LoadSettings, Summary, Users};
use chervilfall_schema::{BurnReport, Objective, ObjectiveClass};
use tokio::runtime::Builder;
use tokio::time::{interval, Instant};

use crate::args;

/// How long callers go on trying, in milliseconds.
const PATIENCE_MS: u64 = 15_000;
/// Pause of a caller after an instance was not reached, in milliseconds.
const PAUSE_MS: u64 = 50;
/// How long jobs may take after the load has ended, in milliseconds.
const FINISH_MS: u64 = 30_000;
/// Pause between two samples of the packing, in milliseconds.
const SAMPLE_MS: u64 = 250;

/// Runs a cell under load.
///
/// # Errors
///
/// Returns an error if the cell can't be started or measured.
pub(crate) fn run(args: &args::Cell) -> anyhow::Result<ExitCode> {
    let users =
        Users::from_name(&args.users).context("--users must be consortium or association")?;
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run_cell(args, users))
}

async fn run_cell(args: &args::Cell, users: Users) -> anyhow::Result<ExitCode> {
    let standins = std::env::current_exe()?;
    let began = Instant::now();
    println!("starting: 3 platform stand-ins, 3 hosts of 16 endpoints, 6 entry instances");
    let cell = Cell::start(CellOptions {
        users,
        entries_a_domain: 2,
        endpoints_a_domain: 16,
        daemon: standins.with_file_name("chervilfalld"),
        standins,
        agent_settings: String::new(),
        orphan_ms: None,
        keep_folder: args.keep,
    })
    .await?;
    println!("ready after {} ms", began.elapsed().as_millis());
    if args.keep {
        println!("settings and logs: {}", cell.folder().display());
    }
    let operators = cell.operators()?;
    set_objectives(&operators[0]).await?;
    let callers = cell.callers()?;
    let requests = plan(users, args.seed, args.seconds, args.rate);
    println!(
        "offering {} requests over {} s, seed {}",
        requests.len(),
        args.seconds,
        args.seed
    );
    let meters = read_meters(&cell, &operators).await;
    let settings = LoadSettings {
        patience_ms: PATIENCE_MS,
        pause_ms: PAUSE_MS,
    };
    let groups = [callers.clone()];
    let load = chervilfall_load::run(&groups, requests, settings);
    let (mut outcomes, packing) = sample_while(&cell, load).await;
    let usage = read_usage(&cell, &operators, &meters).await;
    println!("load has ended; waiting for jobs and retiring services");
    finish_jobs(&callers, &mut outcomes, FINISH_MS).await;
    let burn = read_burn(&operators).await;
    let journal = cell.journal().await?;
    let bad_stops = cell.stop().await;
    let audit = audit(&outcomes, &journal);
    print_summary(&Summary::of(&outcomes));
    print_packing(&packing);
    print_usage(&usage);
    print_burn(&burn);
    print_audit(&audit, &bad_stops);
    let good = audit.violations.is_empty() && bad_stops.is_empty();
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Puts an objective for each class into force.
async fn set_objectives(operator: &RpcClient) -> anyhow::Result<()> {
    let mut document = operator.configuration().await?;
    let objective = |class, wait_ms| Objective {
        class,
        success_permille: 990,
        wait_ms: NonZeroU64::new(wait_ms).unwrap_or(NonZeroU64::MIN),
    };
    document.objectives = vec![
        objective(ObjectiveClass::Call, 250),
        objective(ObjectiveClass::Service, 3_000),
        objective(ObjectiveClass::Gang, 5_000),
        objective(ObjectiveClass::Batch, 10_000),
    ];
    operator.configure(&document).await?;
    Ok(())
}

/// Samples the packing and shows progress until the load has ended.
async fn sample_while<T>(
    cell: &Cell,
    load: impl std::future::Future<Output = T>,
) -> (T, Vec<PackingSample>) {
    let mut samples = Vec::new();
    let mut ticks = interval(Duration::from_millis(SAMPLE_MS));
    tokio::pin!(load);
    loop {
        tokio::select! {
            outcomes = &mut load => return (outcomes, samples),
            _ = ticks.tick() => {
                if let Ok(loads) = cell.loads().await {
                    let sample = PackingSample::of(&loads);
                    samples.push(sample);
                    if samples.len() % 4 == 0 {
                        let (slots, used) = (sample.slots_percent, sample.used_endpoints);
                        println!("  {slots:.0}% of slots on {used} endpoints");
                    }
                }
            }
        }
    }
}

async fn read_meters(cell: &Cell, operators: &[RpcClient]) -> Vec<Option<UsageMeter>> {
    let mut meters = Vec::new();
    for (entry, client) in cell.layout.entries.iter().zip(operators) {
        meters.push(match cell.entry_process(entry.number) {
            Some(process) => UsageMeter::read(process, client).await,
            None => None,
        });
    }
    meters
}

async fn read_usage(
    cell: &Cell,
    operators: &[RpcClient],
    meters: &[Option<UsageMeter>],
) -> Vec<EntryUsage> {
    let mut usage = Vec::new();
    for ((entry, client), meter) in cell.layout.entries.iter().zip(operators).zip(meters) {
        if let (Some(process), Some(meter)) = (cell.entry_process(entry.number), meter) {
            usage.extend(meter.since(process, client).await);
        }
    }
    usage
}

async fn read_burn(operators: &[RpcClient]) -> Vec<BurnReport> {
    let mut reports = Vec::new();
    for client in operators {
        reports.extend(client.burn().await.ok());
    }
    reports
}

fn print_summary(summary: &Summary) {
    println!("\nrequests by kind and verdict");
    for ((kind, verdict), count) in &summary.verdicts {
        println!("  {:<20} {verdict:<13} {count:>7}", kind.name());
    }
    println!("waiting time before the start, as the system says it (ms)");
    for (kind, times) in &summary.waited {
        print_times(kind.name(), times);
    }
    println!("time from arrival to the first answer (ms)");
    for (kind, times) in &summary.latency {
        print_times(kind.name(), times);
    }
}

fn print_times(name: &str, times: &chervilfall_load::WaitTimes) {
    let ms = |us: u64| us as f64 / 1_000.0;
    println!(
        "  {name:<20} p50 {:>9.1}  p99 {:>9.1}  max {:>9.1}  of {}",
        ms(times.p50_us),
        ms(times.p99_us),
        ms(times.max_us),
        times.count
    );
}

fn print_packing(samples: &[PackingSample]) {
    let count = samples.len().max(1) as f64;
    let mean = |value: fn(&PackingSample) -> f64| samples.iter().map(value).sum::<f64>() / count;
    println!(
        "packing of endpoints in use, mean: processors {:.1}%, memory {:.1}%, slots {:.1}%",
        mean(|s| s.processors_percent),
        mean(|s| s.memory_percent),
        mean(|s| s.slots_percent)
    );
}

fn print_usage(usage: &[EntryUsage]) {
    let count = usage.len().max(1) as f64;
    let mean = |value: fn(&EntryUsage) -> f64| usage.iter().map(value).sum::<f64>() / count;
    println!(
        "an entry instance, mean: {:.1}% of a core, {:.1} MiB, {:.1} KB/s with peers, agents and platform",
        mean(|u| u.cpu_percent),
        mean(|u| u.memory_mib),
        mean(|u| u.kb_per_s)
    );
}

fn print_burn(reports: &[BurnReport]) {
    println!("burn of objectives, over all entry instances");
    let Some(first) = reports.first() else { return };
    for row in &first.rows {
        let same = reports
            .iter()
            .flat_map(|report| &report.rows)
            .filter(|other| other.class == row.class);
        let (mut requests, mut bad, mut worst, mut page) = (0, 0, 0, false);
        for other in same {
            requests += other.requests;
            bad += other.bad;
            worst = worst.max(other.burn_short_permille);
            page |= other.page;
        }
        let rate = worst as f64 / 1_000.0;
        let page = if page { "would page" } else { "no page" };
        println!(
            "  {:<8} {requests:>7} requests, {bad:>5} bad, burn rate at worst {rate:.2}, {page}",
            row.class
        );
    }
}

fn print_audit(audit: &Audit, bad_stops: &[u32]) {
    println!(
        "audit: {} requests against {} starts: {} violations",
        audit.requests,
        audit.started,
        audit.violations.len()
    );
    for violation in audit.violations.iter().take(20) {
        println!("  {violation:?}");
    }
    for number in bad_stops {
        println!("  entry {number} did not stop well");
    }
}
