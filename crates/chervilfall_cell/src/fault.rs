//! Faults that are put into a running cell.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chervilfall_client::ClientError;
use chervilfall_fake::AgentFaults;
use chervilfall_platform::EndpointState;
use chervilfall_standin::{MemberChange, PlatformFaults, RelayFaults};
use chervilfall_types::EndpointName;
use tokio::time::sleep;

use crate::cell::Cell;

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing fails.
    None,
    /// An entry instance is killed and replaced.
    Kill,
    /// An entry instance is stopped in its tracks for longer than every lease.
    Pause,
    /// A failure domain is cut off from the others and from the platform.
    Cut,
    /// The table is away for longer than every lease.
    Outage,
    /// A part of the table's answers is lost after the write took effect.
    LostCommits,
    /// All entry instances are stopped as planned and replaced, one after the other.
    Restarts,
    /// Two operators change the configuration against each other.
    Operators,
    /// An operator drains one endpoint, and the list says that another is leaving.
    Drain,
    /// An endpoint answers nothing for longer than every lease.
    Freeze,
    /// An endpoint fails all that it starts.
    FailEverything,
}

/// How long a fault stands if nothing else is asked for, in milliseconds: longer than every lease
/// of [`PROOF_SETTINGS`].
pub const DEFAULT_STAND_MS: u64 = 8_000;
/// How long a killed instance is gone, in milliseconds.
const GONE_MS: u64 = 1_500;
/// Time after which nothing starts on a leaving endpoint, in milliseconds: the list lags by one
/// second and is read once a second, and so is the configuration.
const DRAIN_MS: u64 = 3_000;
/// Changes that each of two operators tries.
const CHANGES: usize = 40;
/// Share of the table's answers that are lost, in thousandths.
const LOST_PERMILLE: u64 = 300;

/// Settings under which faults are tried: every lease is shorter than a fault.
pub const PROOF_SETTINGS: &str = "  lease_ms: 3000\n  orphan_ms: 5000\n";

/// What happened while a fault stood.
#[derive(Debug, Clone, Default)]
pub struct FaultReport {
    /// Planned stops that did not end well.
    pub bad_stops: u32,
    /// Versions of the configuration that went back, as an instance showed them.
    pub versions_back: u32,
    /// Changes that were accepted and are not in the last version.
    pub changes_lost: u32,
    /// Changes that were accepted.
    pub changes: u32,
    /// Endpoints that take no new work from a time on, in microseconds of the system's clock.
    pub drained: Vec<(String, u64)>,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 11] = [
        Self::None,
        Self::Kill,
        Self::Pause,
        Self::Cut,
        Self::Outage,
        Self::LostCommits,
        Self::Restarts,
        Self::Operators,
        Self::Drain,
        Self::Freeze,
        Self::FailEverything,
    ];

    /// Returns its name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Kill => "kill",
            Self::Pause => "pause",
            Self::Cut => "cut",
            Self::Outage => "outage",
            Self::LostCommits => "lost-commits",
            Self::Restarts => "restarts",
            Self::Operators => "operators",
            Self::Drain => "drain",
            Self::Freeze => "freeze",
            Self::FailEverything => "fail-everything",
        }
    }

    /// Returns the fault with a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// Returns whether callers reach only instances of their own domain: while a domain is cut
    /// off, so are those who are in it.
    #[must_use]
    pub const fn keeps_callers_at_home(self) -> bool {
        matches!(self, Self::Cut)
    }

    /// Puts the fault into a cell, for `stand_ms` milliseconds if it is one that stands, and takes
    /// it out again.
    ///
    /// # Errors
    ///
    /// Returns an error if the fault can't be set.
    pub async fn strike(self, cell: &mut Cell, stand_ms: u64) -> anyhow::Result<FaultReport> {
        let mut report = FaultReport::default();
        match self {
            Self::None => {}
            Self::Kill => {
                cell.kill_entry(1).await?;
                sleep(Duration::from_millis(GONE_MS)).await;
                cell.start_entry(1)?;
            }
            Self::Pause => {
                cell.signal_entry(1, "STOP").await?;
                sleep(Duration::from_millis(stand_ms)).await;
                cell.signal_entry(1, "CONT").await?;
            }
            Self::Cut => {
                let domain = cell.layout.domains[0].clone();
                set_cut(cell, std::slice::from_ref(&domain)).await?;
                sleep(Duration::from_millis(stand_ms)).await;
                set_cut(cell, &[]).await?;
            }
            Self::Outage => {
                let outage = PlatformFaults {
                    outage: true,
                    ..PlatformFaults::default()
                };
                set_platform(cell, &outage).await?;
                sleep(Duration::from_millis(stand_ms)).await;
                set_platform(cell, &PlatformFaults::default()).await?;
            }
            Self::LostCommits => {
                let lossy = PlatformFaults {
                    lose_answers_permille: LOST_PERMILLE,
                    ..PlatformFaults::default()
                };
                set_platform(cell, &lossy).await?;
                sleep(Duration::from_millis(stand_ms)).await;
                set_platform(cell, &PlatformFaults::default()).await?;
            }
            Self::Restarts => {
                for entry in cell.layout.entries.clone() {
                    let well = cell.stop_entry(entry.number).await?;
                    report.bad_stops += u32::from(!well);
                    cell.start_entry(entry.number)?;
                    cell.wait_entry(entry.number).await?;
                }
            }
            Self::Operators => race(cell, &mut report).await?,
            Self::Drain => drain(cell, stand_ms, &mut report).await?,
            Self::Freeze => {
                let frozen = AgentFaults {
                    freeze: true,
                    ..AgentFaults::default()
                };
                harm_first_endpoint(cell, &frozen, stand_ms).await?;
            }
            Self::FailEverything => {
                let failing = AgentFaults {
                    fail_everything: true,
                    ..AgentFaults::default()
                };
                harm_first_endpoint(cell, &failing, stand_ms).await?;
            }
        }
        Ok(report)
    }
}

async fn set_cut(cell: &Cell, domains: &[String]) -> anyhow::Result<()> {
    let cut_domains: BTreeSet<String> = domains.iter().cloned().collect();
    let relay = format!("http://{}/faults", cell.layout.relay);
    cell.post(&relay, &RelayFaults { cut_domains }).await?;
    let platform = PlatformFaults {
        cut_domains: domains.to_vec(),
        ..PlatformFaults::default()
    };
    for address in [cell.layout.table, cell.layout.objects, cell.layout.members] {
        cell.post(&format!("http://{address}/faults"), &platform)
            .await?;
    }
    Ok(())
}

async fn set_platform(cell: &Cell, faults: &PlatformFaults) -> anyhow::Result<()> {
    for address in [cell.layout.table, cell.layout.objects] {
        cell.post(&format!("http://{address}/faults"), faults)
            .await?;
    }
    Ok(())
}

/// Puts faults into the first endpoint and takes them out again.
async fn harm_first_endpoint(
    cell: &Cell,
    faults: &AgentFaults,
    stand_ms: u64,
) -> anyhow::Result<()> {
    let host = cell.layout.hosts[0];
    let name = &cell.layout.endpoints[0].name;
    let address = format!("http://{host}/e/{name}/faults");
    cell.post(&address, faults).await?;
    sleep(Duration::from_millis(stand_ms)).await;
    cell.post(&address, &AgentFaults::default()).await
}

/// Drains the first endpoint by the configuration, and has the list say that the second leaves;
/// nothing may start on either after the bound.
async fn drain(cell: &Cell, stand_ms: u64, report: &mut FaultReport) -> anyhow::Result<()> {
    let [first, second] = [0, 1].map(|index| cell.layout.endpoints[index].name.clone());
    let operators = cell.operators()?;
    let mut document = operators[0].configuration().await?;
    document.drained.push(first.clone());
    operators[0].configure(&document).await?;
    report.changes = 1;
    let change = MemberChange {
        endpoint: EndpointName::new(&second)?,
        state: Some(EndpointState::Leaving),
    };
    let members = format!("http://{}/change", cell.layout.members);
    cell.post(&members, &change).await?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let from_us = u64::try_from(since.as_micros())? + DRAIN_MS * 1_000;
    report.drained = vec![(first, from_us), (second, from_us)];
    sleep(Duration::from_millis(stand_ms)).await;
    Ok(())
}

/// Has two operators add drained endpoints through different instances, each by reading and
/// replacing the configuration; every accepted change must be in the last version.
async fn race(cell: &Cell, report: &mut FaultReport) -> anyhow::Result<()> {
    let operators = cell.operators()?;
    let names = |operator: usize| (0..CHANGES).map(move |n| format!("absent-{operator}-{n}"));
    let change = |operator: usize| {
        let client = operators[operator].clone();
        async move {
            let mut accepted = Vec::new();
            let mut back = 0;
            let mut shown = 0;
            for name in names(operator) {
                let Ok(mut document) = client.configuration().await else {
                    continue;
                };
                back += u32::from(document.version < shown);
                shown = document.version;
                document.drained.push(name.clone());
                match client.configure(&document).await {
                    Ok(_) => accepted.push(name),
                    Err(ClientError::Conflict(_)) => {}
                    Err(_) => sleep(Duration::from_millis(100)).await,
                }
            }
            (accepted, back)
        }
    };
    let (first, second) = tokio::join!(change(0), change(operators.len() - 1));
    // Every instance must show the last version within three seconds.
    sleep(Duration::from_secs(3)).await;
    report.versions_back = first.1 + second.1;
    for client in &operators {
        let document = client.configuration().await?;
        let missing = first.0.iter().chain(&second.0);
        let missing = missing.filter(|name| !document.drained.contains(name));
        report.changes_lost += u32::try_from(missing.count()).unwrap_or(u32::MAX);
    }
    report.changes = u32::try_from(first.0.len() + second.0.len()).unwrap_or(u32::MAX);
    Ok(())
}
