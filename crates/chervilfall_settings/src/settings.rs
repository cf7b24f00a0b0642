//! Checked settings.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use chervilfall_types::{DomainName, EntryId};

use crate::error::{Problems, SettingsError};
use crate::groups::{
    AgentSettings, LedgerSettings, LinkTimings, PlatformTimings, RequestSettings, RpcLimits,
    SchedulingSettings, StopSettings,
};
use crate::options::{LogFormat, LogLevel, Options, Role};

/// Another entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAccess {
    /// Its number.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address of its link listener.
    pub address: SocketAddr,
}

/// Links to other instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkAccess {
    /// Where links are listened for.
    pub listen: SocketAddr,
    /// File with the shared secret.
    pub secret_file: PathBuf,
    /// The other instances.
    pub peers: Vec<PeerAccess>,
    /// Timings.
    pub timings: LinkTimings,
}

/// The RPC.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RpcAccess {
    /// Where requests are listened for.
    pub listen: SocketAddr,
    /// File with the token of callers.
    pub caller_token_file: PathBuf,
    /// File with the token of operators.
    pub operator_token_file: PathBuf,
    /// Limits.
    pub limits: RpcLimits,
}

/// The platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAccess {
    /// Base address of the table.
    pub table: String,
    /// Base address of the object store.
    pub objects: String,
    /// Base address of the list of endpoints.
    pub members: String,
    /// File with the token.
    pub token_file: PathBuf,
    /// Timings.
    pub timings: PlatformTimings,
}

/// The endpoints' agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentAccess {
    /// File with the token.
    pub token_file: PathBuf,
    /// Leases and timings.
    pub timings: AgentSettings,
}

/// Log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least level that is written.
    pub level: LogLevel,
    /// Form of the lines.
    pub format: LogFormat,
    /// File to write to; the standard error if absent.
    pub file: Option<PathBuf>,
}

/// All settings of the daemon, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// What the instance does.
    pub role: Role,
    /// Its number.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Links to other instances.
    pub links: LinkAccess,
    /// The RPC.
    pub rpc: RpcAccess,
    /// The platform.
    pub platform: PlatformAccess,
    /// The endpoints' agents.
    pub agents: AgentAccess,
    /// Shards and their log.
    pub ledger: LedgerSettings,
    /// Requests.
    pub requests: RequestSettings,
    /// Queues and tasks.
    pub scheduling: SchedulingSettings,
    /// Planned stops.
    pub stop: StopSettings,
    /// Log lines.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names file, line and field if the file can't be read, has an
    /// unknown key, or holds values that are missing, out of range or do not go together.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Checks the text of a file; `path` is named in errors.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Settings::read`] does.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let options: Options =
            serde_norway::from_str(text).map_err(|error| SettingsError::Malformed {
                path: path.to_owned(),
                message: error.to_string(),
            })?;
        let mut problems = Problems::new(text);
        let settings = resolve(&options, &mut problems);
        match settings {
            Some(settings) if problems.found.is_empty() => Ok(settings),
            _ => Err(SettingsError::Invalid {
                path: path.to_owned(),
                problems: problems.found,
            }),
        }
    }
}

fn resolve(options: &Options, problems: &mut Problems<'_>) -> Option<Settings> {
    let entry = given(options.entry, "entry", problems);
    let domain = name(options.domain.as_deref(), "domain", problems);
    let links = links(options, problems);
    let rpc = rpc(options, problems);
    let platform = platform(options, problems);
    let agents = agents(options, problems);
    let ledger = options.ledger.resolve(problems);
    let requests = options.requests.resolve(problems);
    let scheduling = options.scheduling.resolve(problems);
    let stop = options.stop.resolve(problems);
    let settings = Settings {
        role: options.role.unwrap_or_default(),
        entry: EntryId(entry?),
        domain: domain?,
        links: links?,
        rpc: rpc?,
        platform: platform?,
        agents: agents?,
        ledger,
        requests,
        scheduling,
        stop,
        log: LogSettings {
            level: options.log.level.unwrap_or_default(),
            format: options.log.format.unwrap_or_default(),
            file: options.log.file.clone(),
        },
    };
    check_combinations(&settings, problems);
    Some(settings)
}

/// Checks values that are in their ranges but do not go together.
fn check_combinations(settings: &Settings, problems: &mut Problems<'_>) {
    let links = &settings.links.timings;
    if links.silence_ms < 2 * links.heartbeat_ms {
        let problem = "must be at least twice links.heartbeat_ms";
        problems.add("links.silence_ms", problem);
    }
    let agents = &settings.agents.timings;
    if agents.lease_ms <= agents.timeout_ms + agents.poll_ms {
        let problem = "must be longer than agents.timeout_ms and agents.poll_ms together";
        problems.add("agents.lease_ms", problem);
    }
    let ledger = &settings.ledger;
    if ledger.entry_lease_ms < 3 * ledger.entry_renew_ms {
        let problem = "must be at least three times ledger.entry_renew_ms";
        problems.add("ledger.entry_lease_ms", problem);
    }
    if ledger.entry_lease_ms <= links.silence_ms {
        let problem = "must be longer than links.silence_ms, so that an instance learns that it \
                       is cut off before another takes its shards";
        problems.add("ledger.entry_lease_ms", problem);
    }
    let mut seen = BTreeSet::from([settings.entry]);
    for peer in &settings.links.peers {
        if !seen.insert(peer.entry) {
            let problem = format!("names entry {} twice, or this instance itself", peer.entry);
            problems.add("links.peers", &problem);
        }
    }
}

fn given<T>(value: Option<T>, field: &str, problems: &mut Problems<'_>) -> Option<T> {
    if value.is_none() {
        problems.add(field, "must be given");
    }
    value
}

fn name(value: Option<&str>, field: &str, problems: &mut Problems<'_>) -> Option<DomainName> {
    match DomainName::new(given(value, field, problems)?) {
        Ok(name) => Some(name),
        Err(error) => {
            problems.add(field, &error.to_string());
            None
        }
    }
}

fn address(value: Option<&str>, field: &str, problems: &mut Problems<'_>) -> Option<String> {
    let address = given(value, field, problems)?;
    if !address.starts_with("http://") {
        problems.add(field, "must begin with http://");
        return None;
    }
    Some(address.trim_end_matches('/').to_owned())
}

fn links(options: &Options, problems: &mut Problems<'_>) -> Option<LinkAccess> {
    let links = &options.links;
    let timings = links.resolve(problems);
    let listen = given(links.listen, "links.listen", problems);
    let secret_file = given(links.secret_file.clone(), "links.secret_file", problems);
    let mut peers = Vec::new();
    for peer in links.peers.iter().flatten() {
        let domain = name(Some(&peer.domain), "links.peers", problems)?;
        peers.push(PeerAccess {
            entry: EntryId(peer.entry),
            domain,
            address: peer.address,
        });
    }
    Some(LinkAccess {
        listen: listen?,
        secret_file: secret_file?,
        peers,
        timings,
    })
}

fn rpc(options: &Options, problems: &mut Problems<'_>) -> Option<RpcAccess> {
    let rpc = &options.rpc;
    let limits = rpc.resolve(problems);
    let listen = given(rpc.listen, "rpc.listen", problems);
    let caller = rpc.caller_token_file.clone();
    let caller_token_file = given(caller, "rpc.caller_token_file", problems);
    let operator = rpc.operator_token_file.clone();
    let operator_token_file = given(operator, "rpc.operator_token_file", problems);
    Some(RpcAccess {
        listen: listen?,
        caller_token_file: caller_token_file?,
        operator_token_file: operator_token_file?,
        limits,
    })
}

fn platform(options: &Options, problems: &mut Problems<'_>) -> Option<PlatformAccess> {
    let platform = &options.platform;
    let timings = platform.resolve(problems);
    let table = address(platform.table.as_deref(), "platform.table", problems);
    let objects = address(platform.objects.as_deref(), "platform.objects", problems);
    let members = address(platform.members.as_deref(), "platform.members", problems);
    let token_file = platform.token_file.clone();
    let token_file = given(token_file, "platform.token_file", problems);
    Some(PlatformAccess {
        table: table?,
        objects: objects?,
        members: members?,
        token_file: token_file?,
        timings,
    })
}

fn agents(options: &Options, problems: &mut Problems<'_>) -> Option<AgentAccess> {
    let timings = options.agents.resolve(problems);
    let token_file = options.agents.token_file.clone();
    let token_file = given(token_file, "agents.token_file", problems);
    Some(AgentAccess {
        token_file: token_file?,
        timings,
    })
}
