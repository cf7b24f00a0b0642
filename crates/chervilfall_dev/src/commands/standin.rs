//! Runs a stand-in until the process is stopped.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use chervilfall_fake::AgentLimits;
use chervilfall_standin::{
    open_endpoints, open_members, open_objects, open_relay, open_table, serve, EndpointsSettings,
    ServerSettings, TableLimits,
};
use chervilfall_types::{EndpointName, Resources};
use tokio::runtime::Builder;

use crate::args::{Endpoints, Standin, StandinKind};

/// Threads of a stand-in.
const THREADS: usize = 2;

/// Runs a stand-in.
///
/// # Errors
///
/// Returns an error if it can't serve.
pub(crate) fn run(args: &Standin) -> anyhow::Result<ExitCode> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let rocket = match &args.kind {
            StandinKind::Table(args) => {
                let limits = TableLimits {
                    writes_per_s: args.writes_per_s,
                    reads_per_s: args.reads_per_s,
                };
                open_table(&server(args.listen, &args.token_file)?, limits)
            }
            StandinKind::Objects(args) => open_objects(&server(args.listen, &args.token_file)?),
            StandinKind::Members(args) => {
                open_members(&server(args.listen, &args.token_file)?, args.lag_ms)
            }
            StandinKind::Endpoints(args) => {
                let server = server(args.listen, &args.token_file)?;
                open_endpoints(&server, endpoints(args)?)
            }
            StandinKind::Relay(args) => {
                let routes = serde_json::from_str(&args.routes).context("--routes")?;
                open_relay(&server(args.listen, &args.token_file)?, routes).await?
            }
        };
        serve(rocket).await?;
        Ok(ExitCode::SUCCESS)
    })
}

fn server(listen: SocketAddr, token_file: &Path) -> anyhow::Result<ServerSettings> {
    anyhow::ensure!(listen.ip().is_loopback(), "--listen must be on loopback");
    let token = fs::read_to_string(token_file)
        .with_context(|| format!("can't read {}", token_file.display()))?;
    Ok(ServerSettings {
        listen,
        token: token.trim().to_owned(),
    })
}

fn endpoints(args: &Endpoints) -> anyhow::Result<EndpointsSettings> {
    let capacity: Resources = serde_json::from_str(&args.capacity).context("--capacity")?;
    let limits = AgentLimits {
        capacity,
        orphan_ms: args.orphan_ms,
    };
    let names: Result<Vec<EndpointName>, _> = args
        .name
        .iter()
        .map(|name| EndpointName::new(name))
        .collect();
    Ok(EndpointsSettings {
        endpoints: names?.into_iter().map(|name| (name, limits)).collect(),
    })
}
