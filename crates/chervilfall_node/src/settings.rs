//! Settings of a node, in YAML.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use chervilfall_planner::{NodeResources, Policies};
use serde::Deserialize;

use crate::planned_stop::StopTimes;

/// Longest time that a start takes to reach its endpoint, unless it is delayed.
const START_TRANSIT_MS: u64 = 200;

/// Why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("can't read settings {path}: {cause}")]
    Unreadable {
        /// The file.
        path: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// A field is wrong.
    #[error("settings {path}: field {field}: {cause}")]
    Field {
        /// The file.
        path: String,
        /// The field.
        field: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// Timings and limits of a node, with the reasons for the defaults.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timings {
    /// Interval between heartbeats on a link.
    pub heartbeat_ms: u64,
    /// Time without messages after which a link counts as broken: four heartbeats and a pause of
    /// the process. Connections can go silent permanently while new ones work.
    pub silence_ms: u64,
    /// Time limit for connecting to the holder.
    pub connect_ms: u64,
    /// Followers check the claim row if the holder reports that its claim was not confirmed for
    /// this long: a renewal and a heartbeat more than usual.
    pub stale_ms: u64,
    /// The claim row must stay unchanged for this long before the group is claimed, unless the
    /// holder has stated another time.
    pub stall_ms: u64,
    /// The same, if the holder's machine refuses connections, which means that its process is gone.
    pub refused_stall_ms: u64,
    /// A node reports that it is not ready if the claim was not confirmed for this long: longer
    /// than a takeover takes, so that callers of a domain that is cut off are sent to others within
    /// two seconds.
    pub ready_age_ms: u64,
    /// Interval between readings of the claim row while there is no working holder.
    pub claim_poll_ms: u64,
    /// Shortest interval between the holder's readings of the list of endpoints, unless a bound on
    /// what the list shows is tight.
    pub endpoints_poll_ms: u64,
    /// How long a request that is not a submission waits for a holder before it is refused.
    pub holder_wait_ms: u64,
    /// How long a node that reaches neither a holder nor the store lets requests wait before it
    /// refuses them immediately: as long as a takeover takes.
    pub isolated_wait_ms: u64,
    /// How long a request for an unknown queue waits for the configuration to be confirmed, if the
    /// last confirmation is too old.
    pub configuration_wait_ms: u64,
    /// How long a request waits for the holder's answer.
    pub answer_wait_ms: u64,
    /// Longest time for a request's body to arrive; a caller's wait budget can be shorter.
    pub body_timeout_ms: u64,
    /// Interval between ticks of the planner.
    pub tick_ms: u64,
    /// How long the node keeps serving after a planned stop has begun, while callers are sent to
    /// other nodes.
    pub linger_ms: u64,
    /// Time after the signal of a planned stop in which the process ends, if the platform does not say
    /// when it is killed.
    pub stop_ms: u64,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            silence_ms: 500,
            connect_ms: 400,
            stale_ms: 300,
            stall_ms: 1_200,
            refused_stall_ms: 80,
            ready_age_ms: 700,
            claim_poll_ms: 150,
            endpoints_poll_ms: 500,
            holder_wait_ms: 1_200,
            isolated_wait_ms: 600,
            configuration_wait_ms: 300,
            answer_wait_ms: 2_000,
            body_timeout_ms: 60_000,
            tick_ms: 10,
            linger_ms: 2_500,
            stop_ms: 4_500,
        }
    }
}

const fn one() -> f64 {
    1.0
}

const fn capacity_notice_ms() -> u64 {
    3_000
}

const fn config_apply_ms() -> u64 {
    2_000
}

/// Shortest time within which a configuration is put in force: a shorter one needs readings so
/// frequent that they burden the store.
const MIN_CONFIG_APPLY_MS: u64 = 500;
/// Shortest interval between readings of the list of endpoints, for the same reason.
const MIN_ENDPOINTS_POLL_MS: u64 = 100;
/// Accepted rates of a link in Mbit/s: from one that leaves a node a size of at least one
/// thousandth of a core, to more than any machine has.
const LINK_MBPS: RangeInclusive<f64> = 0.1..=1_000_000.0;
/// Accepted times until a process that is stopped is killed, in seconds.
const GRACE_S: RangeInclusive<f64> = 0.0..=100_000.0;
/// Reports that an endpoint may miss before it leaves the platform's list.
const LISTED_REPORTS: u64 = 3;
/// Readings of the list of endpoints in the time of a bound on what the list shows. The list is long
/// on a large fleet, so it is not read more often than the bound asks for.
const READINGS_PER_BOUND: u64 = 4;
/// Least such readings.
const MIN_READINGS_PER_BOUND: u64 = 2;

/// Bytes of a megabyte.
const MEGABYTE_BYTES: u64 = 1_000_000;
/// One in this many parts of the memory may be taken by the jobs that a holder knows.
const JOB_MEMORY_PART: u64 = 4;

const fn drain_ms() -> u64 {
    2_000
}

const fn report_ms() -> u64 {
    1_500
}

/// A bound that is shorter than what the node keeps whatever fails. It is kept as far as possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TightBound {
    /// Name of the field.
    pub field: &'static str,
    /// Its value.
    pub value_ms: u64,
    /// Value from which on it is not tight.
    pub kept_from_ms: u64,
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address that reports whether the node is ready.
    pub ready_listen: SocketAddr,
    /// Address for links from other nodes.
    pub link_listen: SocketAddr,
    /// Address that serves metrics; no listener if absent.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the advice service.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
    /// CPU that the node may use, in cores: larger nodes are preferred as holders.
    #[serde(default = "one")]
    pub cpu_cores: f64,
    /// Rate of the node's link in Mbit/s, which limits its size as a holder; no limit if absent.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Descriptors that the process may open; no limit if none.
    #[serde(default)]
    pub max_descriptors: Option<usize>,
    /// Memory of the node's machine, in megabytes; no limit if absent.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Longest lease that endpoints grant.
    pub lease_max_ms: u64,
    /// Interval between an endpoint's status reports.
    #[serde(default = "report_ms")]
    pub report_ms: u64,
    /// Time within which starts must respect an endpoint's report that its capacity has shrunk.
    #[serde(default = "capacity_notice_ms")]
    pub capacity_notice_ms: u64,
    /// Time after a configuration's acknowledgement within which it must be in force at every node.
    #[serde(default = "config_apply_ms")]
    pub config_apply_ms: u64,
    /// Time after a configuration's acknowledgement from which no call runs with a key that it has
    /// revoked. Set if calls need keys of client accounts.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// Whether `revoke_ms` also holds for nodes that cannot read the configuration: they then
    /// reject calls.
    #[serde(default)]
    pub strict_revoke: bool,
    /// Time after an endpoint's report that it is leaving from which it gets no starts.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// Time after the acknowledgement of a failure domain's evacuation from which its endpoints get
    /// no starts; none if the platform asks for no such time.
    #[serde(default)]
    pub evacuate_ms: Option<u64>,
    /// Time after the signal of a planned stop at which the platform kills the process, in seconds.
    #[serde(default)]
    pub grace_s: Option<f64>,
    /// How long a finished job can be queried, in seconds.
    pub status_s: u64,
    /// Maximum size of a row, in bytes.
    pub row_bytes: usize,
    /// Timings.
    #[serde(default)]
    pub timings: Timings,
    /// Policies in force.
    #[serde(default)]
    pub policies: Policies,
    /// Features that the platform declares, in its own words.
    #[serde(default)]
    pub platform_features: Vec<String>,
}

impl Settings {
    /// Returns how long an endpoint may be given starts after its last report: the time within
    /// which starts must respect a report plus one report interval, less one reading of the list
    /// and the transit of a start.
    #[must_use]
    pub fn report_age_ms(&self) -> u64 {
        let followed_ms = self.capacity_notice_ms + self.report_ms;
        followed_ms.saturating_sub(self.endpoints_poll_ms() + START_TRANSIT_MS)
    }

    /// Returns the time within which a configuration is put in force: that of a configuration, or
    /// of the keys that it revokes if those have less.
    #[must_use]
    pub fn configuration_within_ms(&self) -> u64 {
        let revoke_ms = self.revoke_ms.unwrap_or(u64::MAX);
        let within_ms = self.config_apply_ms.min(revoke_ms);
        within_ms.max(MIN_CONFIG_APPLY_MS)
    }

    /// Returns the interval between readings of the list of endpoints: a part of the shortest bound
    /// on what the list shows, at least `timings.endpoints_poll_ms` unless that bound is tight.
    #[must_use]
    pub fn endpoints_poll_ms(&self) -> u64 {
        let bound_ms = self.leaving_ms().min(self.capacity_notice_ms);
        let poll_ms = self.timings.endpoints_poll_ms;
        poll_ms
            .max(bound_ms / READINGS_PER_BOUND)
            .min(bound_ms / MIN_READINGS_PER_BOUND)
            .max(MIN_ENDPOINTS_POLL_MS)
    }

    /// Returns the shorter one of the times within which starts must respect that an endpoint
    /// drains, or that its failure domain is evacuated.
    #[must_use]
    pub fn leaving_ms(&self) -> u64 {
        self.drain_ms.min(self.evacuate_ms.unwrap_or(u64::MAX))
    }

    /// Returns how old the last reading of the evacuations may be for a start, if that is limited.
    #[must_use]
    pub fn evacuations_age_ms(&self) -> Option<u64> {
        let evacuate_ms = self.evacuate_ms?;
        Some(evacuate_ms.saturating_sub(START_TRANSIT_MS))
    }

    /// Returns the bounds that are tight.
    #[must_use]
    pub fn tight_bounds(&self) -> Vec<TightBound> {
        let list_ms = MIN_READINGS_PER_BOUND * self.timings.endpoints_poll_ms;
        let bounds = [
            ("config_apply_ms", self.config_apply_ms, MIN_CONFIG_APPLY_MS),
            ("drain_ms", self.drain_ms, list_ms),
            ("capacity_notice_ms", self.capacity_notice_ms, list_ms),
        ];
        let revoke = self
            .revoke_ms
            .map(|ms| ("revoke_ms", ms, self.config_apply_ms));
        let evacuate = self.evacuate_ms.map(|ms| ("evacuate_ms", ms, list_ms));
        let bounds = bounds.into_iter().chain(revoke).chain(evacuate);
        let tight = bounds.filter(|(_, value_ms, kept_from_ms)| value_ms < kept_from_ms);
        tight
            .map(|(field, value_ms, kept_from_ms)| TightBound {
                field,
                value_ms,
                kept_from_ms,
            })
            .collect()
    }

    /// Returns the time after which an endpoint that is lost leaves the platform's list.
    #[must_use]
    pub const fn listed_ms(&self) -> u64 {
        LISTED_REPORTS * self.report_ms
    }

    /// Returns the size of the node as a holder, in thousandths of a core.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn size_permille(&self) -> u64 {
        let resources = NodeResources {
            // `parse` accepts only values between 0.001 and 1000.
            cpu_permille: (self.cpu_cores * 1_000.0) as u64,
            link_mbps: self.link_mbps,
        };
        resources.size_permille()
    }

    /// Returns how long the parts of a planned stop last.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn stop_times(&self) -> StopTimes {
        // `parse` accepts only values between 0 and 100,000.
        let grace_ms = self.grace_s.map(|grace_s| (grace_s * 1_000.0) as u64);
        let kill_ms = grace_ms.unwrap_or(self.timings.stop_ms);
        StopTimes::new(kill_ms, self.timings.linger_ms)
    }

    /// Returns the memory of the node's machine, in bytes; no limit if none.
    #[must_use]
    pub fn memory_bytes(&self) -> Option<u64> {
        self.memory_mb
            .map(|memory_mb| memory_mb.saturating_mul(MEGABYTE_BYTES))
    }

    /// Returns the memory that the jobs of a group may take at their holder, in bytes; no limit if
    /// none.
    #[must_use]
    pub fn max_job_bytes(&self) -> Option<u64> {
        self.memory_bytes().map(|bytes| bytes / JOB_MEMORY_PART)
    }

    /// Parses settings; `name` identifies the text in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let field = |field: String, cause: String| SettingsError::Field {
            path: name.to_owned(),
            field,
            cause,
        };
        let source = serde_norway::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(source)
            .map_err(|error| field(error.path().to_string(), error.inner().to_string()))?;
        if settings.node.is_empty() {
            return Err(field("node".to_owned(), "must not be empty".to_owned()));
        }
        if !(0.001..=1_000.0).contains(&settings.cpu_cores) {
            return Err(field(
                "cpu_cores".to_owned(),
                "must be between 0.001 and 1000".to_owned(),
            ));
        }
        if settings
            .link_mbps
            .is_some_and(|mbps| !LINK_MBPS.contains(&mbps))
        {
            return Err(field(
                "link_mbps".to_owned(),
                format!(
                    "must be between {} and {}",
                    LINK_MBPS.start(),
                    LINK_MBPS.end()
                ),
            ));
        }
        if settings
            .grace_s
            .is_some_and(|grace_s| !GRACE_S.contains(&grace_s))
        {
            let cause = format!("must be between {} and {}", GRACE_S.start(), GRACE_S.end());
            return Err(field("grace_s".to_owned(), cause));
        }
        let bounds = [
            ("config_apply_ms", settings.config_apply_ms),
            ("revoke_ms", settings.revoke_ms.unwrap_or(u64::MAX)),
            ("drain_ms", settings.drain_ms),
            ("evacuate_ms", settings.evacuate_ms.unwrap_or(u64::MAX)),
            ("capacity_notice_ms", settings.capacity_notice_ms),
            ("memory_mb", settings.memory_mb.unwrap_or(u64::MAX)),
        ];
        if let Some((name, _)) = bounds.iter().find(|(_, bound_ms)| *bound_ms == 0) {
            return Err(field((*name).to_owned(), "must be at least 1".to_owned()));
        }
        let timings = &settings.timings;
        if timings.silence_ms <= 2 * timings.heartbeat_ms {
            let cause = format!(
                "must exceed twice heartbeat_ms, which is {}",
                timings.heartbeat_ms
            );
            return Err(field("timings.silence_ms".to_owned(), cause));
        }
        if timings.tick_ms == 0 {
            return Err(field(
                "timings.tick_ms".to_owned(),
                "must be at least 1".to_owned(),
            ));
        }
        Ok(settings)
    }
}

/// Returns the text of a settings file.
///
/// # Errors
///
/// Returns an error that names the file.
pub fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        path: path.display().to_string(),
        cause,
    })
}

/// Returns the names of the top-level fields that differ between two texts of settings.
///
/// # Errors
///
/// Returns an error that contains `name` if a text is not YAML.
pub fn changed_fields(name: &str, before: &str, after: &str) -> Result<Vec<String>, SettingsError> {
    let before = fields(name, before)?;
    let after = fields(name, after)?;
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changed = names
        .into_iter()
        .filter(|field| before.get(*field) != after.get(*field));
    Ok(changed.cloned().collect())
}

fn fields(name: &str, text: &str) -> Result<BTreeMap<String, serde_norway::Value>, SettingsError> {
    serde_norway::from_str(text).map_err(|error| SettingsError::Field {
        path: name.to_owned(),
        field: String::new(),
        cause: error.to_string(),
    })
}
