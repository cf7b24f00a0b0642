//! Proves the promises in processes, for one fault or all.

use std::process::ExitCode;

use anyhow::{bail, Context};
use chervilfall_cell::{prove, CellOptions, Fault, Proof, ProveOptions, PROOF_SETTINGS};
use chervilfall_load::Users;
use tokio::runtime::Builder;

use crate::args::Prove;

/// Runs proofs.
///
/// # Errors
///
/// Returns an error if a cell can't be started, struck or read.
pub(crate) fn run(args: &Prove) -> anyhow::Result<ExitCode> {
    let users =
        Users::from_name(&args.users).context("--users must be consortium or association")?;
    let faults = match &args.fault {
        None => Fault::ALL.to_vec(),
        Some(name) => match Fault::from_name(name) {
            Some(fault) => vec![fault],
            None => bail!("there is no fault {name}; there are: {}", names()),
        },
    };
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let mut proofs = Vec::new();
    for fault in faults {
        if !args.json {
            println!(
                "{}: {} s at {} requests/s",
                fault.name(),
                args.seconds,
                args.rate
            );
        }
        let standins = std::env::current_exe()?;
        let proof = runtime.block_on(prove(ProveOptions {
            cell: CellOptions {
                users,
                entries_a_domain: 2,
                endpoints_a_domain: 4,
                daemon: standins.with_file_name("chervilfalld"),
                standins,
                agent_settings: PROOF_SETTINGS.to_owned(),
                orphan_ms: Some(5_000),
                keep_folder: args.keep,
            },
            fault,
            seconds: args.seconds,
            seed: args.seed,
            rate_per_s: args.rate,
            stand_ms: args.stand_ms,
        }))?;
        if !args.json {
            print(&proof);
        }
        proofs.push(proof);
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&proofs)?);
    }
    let broken = proofs.iter().any(|proof| proof.violations.total() > 0);
    Ok(if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn names() -> String {
    let names: Vec<&str> = Fault::ALL.iter().map(|fault| fault.name()).collect();
    names.join(", ")
}

fn print(proof: &Proof) {
    let counts = &proof.violations;
    println!(
        "  {} requests, {} starts, {} changes of the configuration",
        proof.requests, proof.starts, proof.changes
    );
    println!(
        "  violations: overfilled {}, ran twice {}, lost {}, false verdict {}, started again {}, \
         bad stop {}, version {}, started on leaving {}",
        counts.overfilled,
        counts.ran_twice,
        counts.lost,
        counts.false_verdict,
        counts.started_again,
        counts.bad_stop,
        counts.version,
        counts.started_on_leaving
    );
    for seen in std::iter::once(&proof.availability).chain(&proof.by_domain) {
        println!(
            "  idempotent calls from {}: {}, in time {:.1}%, longest gap {} ms",
            seen.callers,
            seen.calls,
            seen.in_time_permille as f64 / 10.0,
            seen.longest_gap_ms
        );
    }
    println!("  may have run: {}", proof.may_have_run);
    for example in &proof.examples {
        println!("  {example}");
    }
}
