//! A running cell.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{bail, Context};
use chervilfall_client::RpcClient;
use chervilfall_fake::JournalEntry;
use chervilfall_load::Users;
use chervilfall_standin::EndpointLoad;
use reqwest::Client;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::time::{sleep, Instant};

use crate::files::Folder;
use crate::layout::{Layout, LayoutEntry};
use crate::process::Process;

/// How long processes may take to become ready, in milliseconds.
const READY_MS: u64 = 30_000;
/// Default of `ledger.shards`.
const DEFAULT_SHARDS: usize = 16;
/// Pause between two looks at whether something is ready, in milliseconds.
const LOOK_MS: u64 = 20;
/// How long the stop of an entry instance may take, in milliseconds.
const STOP_MS: u64 = 40_000;

/// What to start.
#[derive(Debug, Clone)]
pub struct CellOptions {
    /// Whose cell it is.
    pub users: Users,
    /// Entry instances in each failure domain.
    pub entries_a_domain: u32,
    /// Endpoints in each failure domain.
    pub endpoints_a_domain: usize,
    /// Program of the daemon.
    pub daemon: PathBuf,
    /// Program with the stand-ins.
    pub standins: PathBuf,
    /// Further lines of the group `agents` in the settings of each entry instance.
    pub agent_settings: String,
    /// How long endpoints go on without a lease, in milliseconds, if not the usual time.
    pub orphan_ms: Option<u64>,
    /// Whether the folder with settings and logs stays.
    pub keep_folder: bool,
}

/// A running cell; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cell {
    /// Who stands where.
    pub layout: Layout,
    options: CellOptions,
    folder: Folder,
    standins: Vec<Process>,
    entries: BTreeMap<u32, Process>,
    http: Client,
}

impl Cell {
    /// Starts all processes and waits until every entry instance is ready and every endpoint has
    /// an owner.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or does not become ready.
    pub async fn start(options: CellOptions) -> anyhow::Result<Self> {
        let layout = Layout::new(
            options.users,
            options.entries_a_domain,
            options.endpoints_a_domain,
        )?;
        let folder = Folder::create(options.keep_folder)?;
        let mut cell = Self {
            layout,
            options,
            folder,
            standins: Vec::new(),
            entries: BTreeMap::new(),
            http: Client::builder().no_proxy().build()?,
        };
        cell.start_standins().await?;
        for entry in cell.layout.entries.clone() {
            cell.start_entry(entry.number)?;
        }
        cell.wait_ready().await?;
        Ok(cell)
    }

    async fn start_standins(&mut self) -> anyhow::Result<()> {
        let layout = self.layout.clone();
        let platform = self.folder.secret("platform").display().to_string();
        for (kind, address) in [
            ("table", layout.table),
            ("objects", layout.objects),
            ("members", layout.members),
        ] {
            let arguments = standin_arguments(kind, &address.to_string(), &platform);
            self.start_standin(kind, &arguments)?;
        }
        let agent = self.folder.secret("agent").display().to_string();
        let capacity = serde_json::to_string(&layout.capacity())?;
        for (domain, host) in layout.domains.iter().zip(&layout.hosts) {
            let mut arguments = standin_arguments("endpoints", &host.to_string(), &agent);
            arguments.extend(["--capacity".to_owned(), capacity.clone()]);
            if let Some(orphan_ms) = self.options.orphan_ms {
                arguments.extend(["--orphan-ms".to_owned(), orphan_ms.to_string()]);
            }
            for endpoint in layout.endpoints.iter().filter(|e| e.domain == *domain) {
                arguments.extend(["--name".to_owned(), endpoint.name.clone()]);
            }
            self.start_standin(&format!("endpoints-{domain}"), &arguments)?;
        }
        let mut arguments = standin_arguments("relay", &layout.relay.to_string(), &platform);
        let routes = serde_json::to_string(&layout.routes)?;
        arguments.extend(["--routes".to_owned(), routes]);
        self.start_standin("relay", &arguments)?;
        let mut probes = vec![
            format!("http://{}/faults", layout.relay),
            format!("http://{}/counts", layout.table),
            format!("http://{}/faults", layout.objects),
        ];
        probes.extend(
            layout
                .hosts
                .iter()
                .map(|host| format!("http://{host}/load")),
        );
        for probe in probes {
            self.wait_reachable(&probe).await?;
        }
        let members = format!("http://{}/members", layout.members);
        self.wait_reachable(&members).await?;
        self.post(&members, &layout.membership()?).await
    }

    fn start_standin(&mut self, name: &str, arguments: &[String]) -> anyhow::Result<()> {
        let log = self.folder.log(name);
        let process = Process::start(&self.options.standins, arguments, &log)?;
        self.standins.push(process);
        Ok(())
    }

    /// Starts an entry instance, again if it ran before.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub fn start_entry(&mut self, number: u32) -> anyhow::Result<()> {
        let entry = self.entry(number)?.clone();
        let extra = &self.options.agent_settings;
        let settings = self.folder.write_settings(&self.layout, &entry, extra)?;
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let log = self.folder.log(&format!("entry-{number}"));
        let process = Process::start(&self.options.daemon, &arguments, &log)?;
        self.entries.insert(number, process);
        Ok(())
    }

    /// Kills an entry instance.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not run.
    pub async fn kill_entry(&mut self, number: u32) -> anyhow::Result<()> {
        let mut process = self.entries.remove(&number).context("it does not run")?;
        process.kill().await;
        Ok(())
    }

    /// Stops an entry instance as planned; returns whether it ended well.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not run.
    pub async fn stop_entry(&mut self, number: u32) -> anyhow::Result<bool> {
        let mut process = self.entries.remove(&number).context("it does not run")?;
        Ok(process.stop(STOP_MS).await)
    }

    /// Sends a signal to an entry instance.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not run.
    pub async fn signal_entry(&self, number: u32, signal: &str) -> anyhow::Result<()> {
        let process = self.entries.get(&number).context("it does not run")?;
        process.signal(signal).await
    }

    /// Returns the id of an entry instance's process.
    #[must_use]
    pub fn entry_process(&self, number: u32) -> Option<u32> {
        self.entries.get(&number)?.id()
    }

    /// Returns the folder with settings and logs.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn entry(&self, number: u32) -> anyhow::Result<&LayoutEntry> {
        self.layout
            .entries
            .iter()
            .find(|entry| entry.number == number)
            .with_context(|| format!("there is no entry {number}"))
    }

    /// Returns a client of each entry instance with the token of callers.
    ///
    /// # Errors
    ///
    /// Returns an error if a client can't be opened.
    pub fn callers(&self) -> anyhow::Result<Vec<RpcClient>> {
        self.clients("caller")
    }

    /// Returns a client of each entry instance with the token of operators.
    ///
    /// # Errors
    ///
    /// Returns an error if a client can't be opened.
    pub fn operators(&self) -> anyhow::Result<Vec<RpcClient>> {
        self.clients("operator")
    }

    fn clients(&self, secret: &str) -> anyhow::Result<Vec<RpcClient>> {
        let token = self.folder.read_secret(secret)?;
        self.layout
            .entries
            .iter()
            .map(|entry| Ok(RpcClient::open(&format!("http://{}", entry.rpc), &token)?))
            .collect()
    }

    /// Waits until every entry instance is ready, every endpoint has an owner and every shard a
    /// holder.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long or a process has ended.
    pub async fn wait_ready(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + Duration::from_millis(READY_MS);
        loop {
            for (number, process) in &mut self.entries {
                if process.has_ended() {
                    let said = self.folder.log_end(&format!("entry-{number}"));
                    bail!("entry {number} has ended; its log ends with: {said}");
                }
            }
            if self.is_settled().await? {
                return Ok(());
            }
            if Instant::now() >= until {
                bail!("the cell is not ready after {READY_MS} ms");
            }
            sleep(Duration::from_millis(LOOK_MS * 5)).await;
        }
    }

    /// Waits until an entry instance takes requests.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_entry(&self, number: u32) -> anyhow::Result<()> {
        let entry = format!("http://{}", self.entry(number)?.rpc);
        let client = RpcClient::open(&entry, "")?;
        let until = Instant::now() + Duration::from_millis(READY_MS);
        while !client.is_ready().await {
            if Instant::now() >= until {
                bail!("entry {number} is not ready after {READY_MS} ms");
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        Ok(())
    }

    async fn is_settled(&self) -> anyhow::Result<bool> {
        let mut owned = 0;
        let mut shards = 0;
        for client in self.operators()? {
            let Ok(status) = client.status().await else {
                return Ok(false);
            };
            let connected = status.peers.iter().all(|peer| peer.connected);
            if !status.ready || !connected {
                return Ok(false);
            }
            let held = |state: &str| state == "owned" || state == "draining";
            owned += status
                .endpoints
                .iter()
                .filter(|endpoint| held(&endpoint.state.to_string()))
                .count();
            shards += status.shards.len();
        }
        Ok(owned == self.layout.endpoints.len() && shards >= DEFAULT_SHARDS)
    }

    /// Returns what all endpoints recorded.
    ///
    /// # Errors
    ///
    /// Returns an error if a host of endpoints can't be reached.
    pub async fn journal(&self) -> anyhow::Result<Vec<JournalEntry>> {
        let mut entries = Vec::new();
        for host in &self.layout.hosts {
            let part: Vec<JournalEntry> = self.get(&format!("http://{host}/journal")).await?;
            entries.extend(part);
        }
        entries.sort_by_key(|entry| entry.at_us);
        Ok(entries)
    }

    /// Returns what the attempts of all endpoints hold.
    ///
    /// # Errors
    ///
    /// Returns an error if a host of endpoints can't be reached.
    pub async fn loads(&self) -> anyhow::Result<Vec<EndpointLoad>> {
        let mut loads = Vec::new();
        for host in &self.layout.hosts {
            let part: Vec<EndpointLoad> = self.get(&format!("http://{host}/load")).await?;
            loads.extend(part);
        }
        Ok(loads)
    }

    /// Posts JSON to a stand-in, for instance a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be reached or refuses.
    pub async fn post<T: Serialize>(&self, url: &str, body: &T) -> anyhow::Result<()> {
        self.http
            .post(url)
            .json(body)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(&self, url: &str) -> anyhow::Result<T> {
        let response = self.http.get(url).send().await?.error_for_status()?;
        Ok(response.json().await?)
    }

    /// Waits until something answers at an address, whatever it answers.
    async fn wait_reachable(&self, url: &str) -> anyhow::Result<()> {
        let until = Instant::now() + Duration::from_millis(READY_MS);
        while self.http.get(url).send().await.is_err() {
            if Instant::now() >= until {
                bail!("nothing answers at {url}");
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        Ok(())
    }

    /// Stops all entry instances as planned, then the stand-ins; returns the numbers of the
    /// entry instances that did not end well.
    pub async fn stop(mut self) -> Vec<u32> {
        let mut stops = tokio::task::JoinSet::new();
        for (number, mut process) in std::mem::take(&mut self.entries) {
            stops.spawn(async move { (number, process.stop(STOP_MS).await) });
        }
        let stopped = stops.join_all().await;
        for process in &mut self.standins {
            process.kill().await;
        }
        let bad = stopped.into_iter().filter(|(_, well)| !well);
        bad.map(|(number, _)| number).collect()
    }
}

fn standin_arguments(kind: &str, listen: &str, token_file: &str) -> Vec<String> {
    [
        "standin",
        kind,
        "--listen",
        listen,
        "--token-file",
        token_file,
    ]
    .map(str::to_owned)
    .to_vec()
}
