//! Settings of a node, as YAML says them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

use chervilfall_planner::Policies;
use serde::Deserialize;

/// Time that a start takes to its endpoint at most, if it is not held up.
const START_TRANSIT_MS: u64 = 200;

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("can't read settings {path}: {cause}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
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

/// Timings and bounds of a node, with the origin of each default.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timings {
    /// Time between messages that show a link to be alive.
    pub heartbeat_ms: u64,
    /// Silence after which a link counts as broken: four heartbeats and a pause of the process. Connections
    /// can go silent for good while new ones work.
    pub silence_ms: u64,
    /// Time to connect to the holder.
    pub connect_ms: u64,
    /// Claim that was not confirmed for this long, by what the holder says, makes followers look at the claim
    /// row: a renewal and a heartbeat more than usual.
    pub stale_ms: u64,
    /// The claim row must stand still this long before it is claimed, while the holder has not said how long.
    pub stall_ms: u64,
    /// The same, when the holder's machine refuses connections: its process is gone.
    pub refused_stall_ms: u64,
    /// Claim that was not confirmed for this long makes a node say that it is not ready: longer than a takeover
    /// takes, so that callers of a domain that is cut off are sent to others within two seconds.
    pub ready_age_ms: u64,
    /// Time between readings of the claim row while no holder works.
    pub claim_poll_ms: u64,
    /// Time between readings of the list of endpoints by the holder.
    pub endpoints_poll_ms: u64,
    /// How long a request that submits nothing waits for a holder before it is refused.
    pub holder_wait_ms: u64,
    /// How long a node that reaches neither a holder nor the store lets requests wait before it refuses them at
    /// once: as long as a takeover takes.
    pub isolated_wait_ms: u64,
    /// How long a request for an unknown queue waits for the configuration to be confirmed, if it was not for too long.
    pub configuration_wait_ms: u64,
    /// How long a request waits for the holder's answer.
    pub answer_wait_ms: u64,
    /// Time between ticks of the planner.
    pub tick_ms: u64,
    /// After a planned stop began: how long the node goes on to serve while callers are sent to
    /// other nodes.
    pub linger_ms: u64,
    /// Bound of a planned stop.
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

/// Shortest time in which a configuration can be in force: readings that come so often burden the store.
const MIN_CONFIG_APPLY_MS: u64 = 500;

const fn drain_ms() -> u64 {
    2_000
}

const fn report_ms() -> u64 {
    1_500
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Address that takes callers' requests.
    pub listen: SocketAddr,
    /// Address that tells whether the node is ready.
    pub ready_listen: SocketAddr,
    /// Address that takes links of other nodes.
    pub link_listen: SocketAddr,
    /// Address that serves metrics; none for no such listener.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the advice service.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
    /// Processor that the node may use, in cores: nodes with more hold the group first.
    #[serde(default = "one")]
    pub cpu_cores: f64,
    /// Longest lease that endpoints grant.
    pub lease_max_ms: u64,
    /// Time between an endpoint's reports of itself.
    #[serde(default = "report_ms")]
    pub report_ms: u64,
    /// Time in which starts must follow an endpoint's report that its capacity has shrunk.
    #[serde(default = "capacity_notice_ms")]
    pub capacity_notice_ms: u64,
    /// Time from a configuration's acknowledgement in which it must be in force at every node.
    #[serde(default = "config_apply_ms")]
    pub config_apply_ms: u64,
    /// Time from the acknowledgement of a configuration after which no call runs with a key that it has taken away. Set where
    /// calls need keys of client accounts.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// This holds for nodes that cannot read the configuration too: they turn calls away then.
    #[serde(default)]
    pub strict_revoke: bool,
    /// Time from an endpoint's report that it is leaving after which it gets no starts.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// How long a finished job can be asked for, in seconds.
    pub status_s: u64,
    /// Most bytes of a row.
    pub row_bytes: usize,
    /// Timings.
    #[serde(default)]
    pub timings: Timings,
    /// Policies in force.
    #[serde(default)]
    pub policies: Policies,
}

impl Settings {
    /// Returns how long an endpoint that does not report anew may be given starts: the time in which these must follow
    /// a report, and one report's, less a reading of the list and the way of a start.
    #[must_use]
    pub const fn report_age_ms(&self) -> u64 {
        let followed_ms = self.capacity_notice_ms + self.report_ms;
        followed_ms.saturating_sub(self.timings.endpoints_poll_ms + START_TRANSIT_MS)
    }

    /// Returns the processor that the node may use, in thousandths of a core.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn cpu_permille(&self) -> u64 {
        // The check of the settings keeps it between a thousandth and many cores.
        (self.cpu_cores * 1_000.0) as u64
    }

    /// Reads settings from a text; `name` stands in errors.
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
        if settings.config_apply_ms < MIN_CONFIG_APPLY_MS {
            let cause = format!("must be at least {MIN_CONFIG_APPLY_MS}");
            return Err(field("config_apply_ms".to_owned(), cause));
        }
        if settings
            .revoke_ms
            .is_some_and(|ms| ms < settings.config_apply_ms)
        {
            let cause = format!(
                "must be at least config_apply_ms, which is {}",
                settings.config_apply_ms
            );
            return Err(field("revoke_ms".to_owned(), cause));
        }
        let least_ms = 2 * settings.timings.endpoints_poll_ms;
        if settings.drain_ms < least_ms {
            let cause =
                format!("must be at least {least_ms}, two readings of the list of endpoints");
            return Err(field("drain_ms".to_owned(), cause));
        }
        if settings.capacity_notice_ms < least_ms {
            let cause =
                format!("must be at least {least_ms}, two readings of the list of endpoints");
            return Err(field("capacity_notice_ms".to_owned(), cause));
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

/// Returns the text of a file with settings.
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
/// Returns an error if a text is not YAML; `name` stands in it.
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
