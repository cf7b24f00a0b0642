//! Proof in processes: a cell under load and a fault, audited afterwards.

use std::time::Duration;

use chervilfall_client::RpcClient;
use chervilfall_fake::{JournalEntry, JournalKind};
use chervilfall_load::{finish_jobs, plan, run, LoadSettings, Outcome, PlannedKind};
use chervilfall_schema::Verdict;
use serde::Serialize;
use tokio::time::sleep;

use crate::audit::{audit, Violation};
use crate::availability::Availability;
use crate::cell::{Cell, CellOptions};
use crate::fault::{Fault, FaultReport};

/// How long callers go on trying, in milliseconds.
const PATIENCE_MS: u64 = 20_000;
/// Pause of a caller after an instance was not reached, in milliseconds.
const PAUSE_MS: u64 = 50;
/// Load before the fault, in milliseconds.
const LEAD_MS: u64 = 1_500;
/// How long jobs may take after the load has ended, in milliseconds.
const FINISH_MS: u64 = 60_000;

/// Violations of each promise.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PromiseCounts {
    /// An endpoint carried more than it can.
    pub overfilled: u64,
    /// A task ran in two places at a time.
    pub ran_twice: u64,
    /// A request has no whole answer of its own.
    pub lost: u64,
    /// A caller was told something that is not so.
    pub false_verdict: u64,
    /// A non-idempotent request started more than once.
    pub started_again: u64,
    /// A planned stop did not end well.
    pub bad_stop: u64,
    /// A version went back, or an accepted change was lost.
    pub version: u64,
    /// An attempt started on an endpoint that had been leaving for longer than the bound.
    pub started_on_leaving: u64,
}

impl PromiseCounts {
    /// Returns the sum.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.overfilled
            + self.ran_twice
            + self.lost
            + self.false_verdict
            + self.started_again
            + self.bad_stop
            + self.version
            + self.started_on_leaving
    }
}

/// Result of one proof.
#[derive(Debug, Clone, Serialize)]
pub struct Proof {
    /// Name of the fault.
    pub fault: &'static str,
    /// Requests that were offered.
    pub requests: u64,
    /// Attempts that endpoints started.
    pub starts: u64,
    /// Changes of the configuration that were accepted.
    pub changes: u64,
    /// Violations of each promise.
    pub violations: PromiseCounts,
    /// The first violations in words.
    pub examples: Vec<String>,
    /// Availability to callers of all domains together.
    pub availability: Availability,
    /// Availability to the callers of each domain, if they reached only its instances.
    pub by_domain: Vec<Availability>,
    /// Non-idempotent calls and jobs that may have run.
    pub may_have_run: u64,
}

/// What to prove.
#[derive(Debug, Clone)]
pub struct ProveOptions {
    /// The cell.
    pub cell: CellOptions,
    /// The fault.
    pub fault: Fault,
    /// How long load is offered, in seconds.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
    /// Requests a second.
    pub rate_per_s: u64,
    /// How long a fault stands, in milliseconds.
    pub stand_ms: u64,
}

/// Starts a cell, offers load, strikes, heals, and audits.
///
/// # Errors
///
/// Returns an error if the cell can't be started, struck or read.
pub async fn prove(options: ProveOptions) -> anyhow::Result<Proof> {
    let users = options.cell.users;
    let mut cell = Cell::start(options.cell).await?;
    let callers = cell.callers()?;
    let groups = groups(&cell, options.fault)?;
    let requests = plan(users, options.seed, options.seconds, options.rate_per_s);
    let settings = LoadSettings {
        patience_ms: PATIENCE_MS,
        pause_ms: PAUSE_MS,
    };
    let load = tokio::spawn({
        let clients: Vec<_> = groups.iter().map(|group| group.callers.clone()).collect();
        async move { run(&clients, requests, settings).await }
    });
    sleep(Duration::from_millis(LEAD_MS)).await;
    let struck = options.fault.strike(&mut cell, options.stand_ms).await?;
    let mut outcomes = load.await?;
    cell.wait_ready().await?;
    finish_jobs(&callers, &mut outcomes, FINISH_MS).await;
    let journal = cell.journal().await?;
    let audit = audit(&outcomes, &journal);
    let mut violations = PromiseCounts {
        bad_stop: u64::from(struck.bad_stops),
        version: u64::from(struck.versions_back) + u64::from(struck.changes_lost),
        started_on_leaving: started_on_leaving(&journal, &struck),
        ..PromiseCounts::default()
    };
    for violation in &audit.violations {
        count(&mut violations, violation);
    }
    let named = groups.iter().enumerate();
    let by_domain = named
        .filter_map(|(number, group)| {
            let domain = group.domain.as_deref()?;
            Some(Availability::of_group(&outcomes, number, domain))
        })
        .collect();
    let bad = cell.stop().await;
    violations.bad_stop += bad.len() as u64;
    let examples = audit.violations.iter().take(5);
    Ok(Proof {
        fault: options.fault.name(),
        requests: audit.requests,
        starts: audit.started,
        changes: u64::from(struck.changes),
        violations,
        examples: examples.map(|violation| format!("{violation:?}")).collect(),
        availability: Availability::of_all(&outcomes),
        by_domain,
        may_have_run: may_have_run(&outcomes),
    })
}

/// Callers who reach the same instances.
struct Group {
    /// Their domain, if they reach only its instances.
    domain: Option<String>,
    callers: Vec<RpcClient>,
}

/// Returns the groups of callers under a fault.
fn groups(cell: &Cell, fault: Fault) -> anyhow::Result<Vec<Group>> {
    let callers = cell.callers()?;
    if !fault.keeps_callers_at_home() {
        let everywhere = Group {
            domain: None,
            callers,
        };
        return Ok(vec![everywhere]);
    }
    let of_domain = |domain: &String| {
        let entries = cell.layout.entries.iter().zip(&callers);
        let at_home = entries.filter(|(entry, _)| entry.domain == *domain);
        Group {
            domain: Some(domain.clone()),
            callers: at_home.map(|(_, caller)| caller.clone()).collect(),
        }
    };
    Ok(cell.layout.domains.iter().map(of_domain).collect())
}

fn started_on_leaving(journal: &[JournalEntry], struck: &FaultReport) -> u64 {
    let late = |entry: &&JournalEntry| {
        let started = matches!(entry.kind, JournalKind::Started { .. });
        let left = |(name, from_us): &(String, u64)| {
            entry.endpoint.as_str() == name && entry.at_us > *from_us
        };
        started && struck.drained.iter().any(left)
    };
    journal.iter().filter(late).count() as u64
}

fn count(counts: &mut PromiseCounts, violation: &Violation) {
    match violation {
        Violation::Overfilled(_) => counts.overfilled += 1,
        Violation::RanTwice(_) => counts.ran_twice += 1,
        Violation::StartedAgain(_) => counts.started_again += 1,
        Violation::FalseNotRun(_) | Violation::FalseRan(_) => counts.false_verdict += 1,
        Violation::Lost(_) => counts.lost += 1,
    }
}

fn may_have_run(outcomes: &[Outcome]) -> u64 {
    let unsure = |outcome: &&Outcome| {
        let verdict = outcome.answer.as_ref().and_then(|answer| answer.verdict);
        verdict == Some(Verdict::MayHaveRun) && outcome.planned.kind != PlannedKind::Service
    };
    outcomes.iter().filter(unsure).count() as u64
}
