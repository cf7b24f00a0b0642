//! What the system costs and how well it packs: processor time, memory and bytes of entry
//! instances, and reserved over capacity of endpoints.

use std::fs;

use chervilfall_client::RpcClient;
use chervilfall_standin::EndpointLoad;
use chervilfall_types::Resources;
use tokio::time::Instant;

/// Clock ticks a second of the kernel's process accounting, fixed on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Metrics that count bytes between the system's own processes, agents and the platform.
const BYTE_METRICS: [&str; 2] = [
    "chervilfall_link_bytes_total",
    "chervilfall_http_bytes_total",
];

/// Cost of one entry instance over a time.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryUsage {
    /// Processor time, as a share of one core in percent.
    pub cpu_percent: f64,
    /// Resident memory, in mebibytes.
    pub memory_mib: f64,
    /// Bytes of bodies and frames to and from peers, agents and the platform, in KB a second.
    pub kb_per_s: f64,
}

/// Counters of a process at a time.
#[derive(Debug, Clone, Copy)]
pub struct UsageMeter {
    at: Instant,
    cpu_s: f64,
    bytes: f64,
}

impl UsageMeter {
    /// Reads the counters of a process; absent if it has ended.
    pub async fn read(process: u32, client: &RpcClient) -> Option<Self> {
        let metrics = client.metrics().await.ok()?;
        Some(Self {
            at: Instant::now(),
            cpu_s: cpu_s(process)?,
            bytes: counted_bytes(&metrics),
        })
    }

    /// Returns the cost from this reading to now.
    pub async fn since(self, process: u32, client: &RpcClient) -> Option<EntryUsage> {
        let now = Self::read(process, client).await?;
        let passed_s = (now.at - self.at).as_secs_f64().max(f64::EPSILON);
        Some(EntryUsage {
            cpu_percent: (now.cpu_s - self.cpu_s) / passed_s * 100.0,
            memory_mib: memory_mib(process)?,
            kb_per_s: (now.bytes - self.bytes) / passed_s / 1_000.0,
        })
    }
}

fn cpu_s(process: u32) -> Option<f64> {
    /// Place of the user time among the fields after the name of the program.
    const USER_TIME: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    Some((ticks(USER_TIME)? + ticks(USER_TIME + 1)?) / TICKS_PER_S)
}

fn memory_mib(process: u32) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1_024.0)
}

fn counted_bytes(metrics: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| BYTE_METRICS.iter().any(|name| line.starts_with(name)))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Reserved over capacity of the endpoints that carry anything, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct PackingSample {
    /// Of processors.
    pub processors_percent: f64,
    /// Of memory.
    pub memory_percent: f64,
    /// Of slots.
    pub slots_percent: f64,
    /// Endpoints that carry anything.
    pub used_endpoints: usize,
}

impl PackingSample {
    /// Returns the packing of loads.
    #[must_use]
    pub fn of(loads: &[EndpointLoad]) -> Self {
        let used = loads
            .iter()
            .filter(|load| load.reserved != Resources::default());
        let mut reserved = Resources::default();
        let mut capacity = Resources::default();
        let mut used_endpoints = 0;
        for load in used {
            reserved += load.reserved;
            capacity += load.capacity;
            used_endpoints += 1;
        }
        let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        Self {
            processors_percent: percent(reserved.processors_milli, capacity.processors_milli),
            memory_percent: percent(reserved.memory_mib, capacity.memory_mib),
            slots_percent: percent(reserved.slots, capacity.slots),
            used_endpoints,
        }
    }
}
