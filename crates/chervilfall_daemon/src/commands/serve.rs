//! Runs an entry instance until it is asked to stop.

use std::path::Path;

use anyhow::Context;
use chervilfall_auth::Secret;
use chervilfall_control::{core_settings, Clients, ClientsSettings, Control, ControlSettings};
use chervilfall_core::Identity;
use chervilfall_gateway::{Gateway, GatewaySettings};
use chervilfall_http::{AgentClient, MembershipClient, ObjectClient, TableClient};
use chervilfall_kernel::Kernel;
use chervilfall_link::LinkSettings;
use chervilfall_settings::Settings;
use chervilfall_telemetry::{open_logs, MetricsHandle};
use chervilfall_types::EntryIncarnation;
use chervilfall_wire::PeerAddress;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};

use crate::exit::ExitStatus;

pub(crate) fn run(path: &Path) -> ExitStatus {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Settings;
        }
    };
    match serve_on_threads(settings) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            log::error!("daemon: Can't go on: {error:#}.");
            eprintln!("{error:#}");
            ExitStatus::Failed
        }
    }
}

fn serve_on_threads(settings: Settings) -> anyhow::Result<()> {
    open_logs(&settings.log)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.rpc.limits.workers)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("can't start the traffic threads")?;
    let ended = runtime.block_on(serve(settings));
    // Long polls of agents that are still on their way need not be waited for.
    runtime.shutdown_background();
    ended
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let kernel = open(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("daemon: A planned stop begins.");
    kernel.stop().await;
    Ok(())
}

/// Opens all services, those that others need first.
async fn open(settings: Settings) -> anyhow::Result<Kernel> {
    let mut kernel = Kernel::default();
    kernel.open::<Clients>(clients(&settings)?).await?;
    kernel.open::<Control>(control(&settings)?).await?;
    let gateway = GatewaySettings {
        entry: settings.entry,
        listen: settings.rpc.listen,
        caller: Secret::read(&settings.rpc.caller_token_file)?,
        operator: Secret::read(&settings.rpc.operator_token_file)?,
        limits: settings.rpc.limits,
        meter: MetricsHandle::open()?,
    };
    kernel.open::<Gateway>(gateway).await?;
    Ok(kernel)
}

fn clients(settings: &Settings) -> anyhow::Result<ClientsSettings> {
    let platform = &settings.platform;
    let token = Secret::read(&platform.token_file)?;
    let token = || token.expose().to_owned();
    let timeout_ms = platform.timings.timeout_ms;
    let agent_token = Secret::read(&settings.agents.token_file)?;
    Ok(ClientsSettings {
        table: TableClient::open(platform.table.clone(), token(), timeout_ms)?,
        objects: ObjectClient::open(platform.objects.clone(), token(), timeout_ms)?,
        members: MembershipClient::open(platform.members.clone(), token(), timeout_ms)?,
        agents: AgentClient::open(
            agent_token.expose().to_owned(),
            settings.agents.timings.timeout_ms,
        )?,
    })
}

fn control(settings: &Settings) -> anyhow::Result<ControlSettings> {
    let links = &settings.links;
    let peers = links.peers.iter().map(|peer| PeerAddress {
        entry: peer.entry,
        domain: peer.domain.clone(),
        address: peer.address,
    });
    let identity = Identity {
        incarnation: EntryIncarnation {
            entry: settings.entry,
            nonce: rand::random(),
        },
        domain: settings.domain.clone(),
    };
    Ok(ControlSettings {
        identity,
        core: core_settings(settings),
        links: LinkSettings {
            listen: links.listen,
            peers: peers.collect(),
            heartbeat_ms: links.timings.heartbeat_ms,
            silence_ms: links.timings.silence_ms,
            handshake_ms: links.timings.handshake_ms,
            redial_ms: links.timings.redial_ms,
            queue: links.timings.queue,
        },
        secret: Secret::read(&links.secret_file)?,
        seed: rand::random(),
        grace_ms: settings.stop.grace_ms,
    })
}
