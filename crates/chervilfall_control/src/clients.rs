//! Clients of the platform and of agents, as a service.

use std::convert::Infallible;

use chervilfall_http::{
    AgentClient, AgentError, MembershipClient, ObjectClient, PlatformError, TableClient,
};
use chervilfall_kernel::{Directory, Service};

/// Why a client can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum ClientsError {
    /// A client of the platform.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The client of agents.
    #[error(transparent)]
    Agent(#[from] AgentError),
}

/// Open clients.
#[derive(Debug, Clone)]
pub struct ClientsSettings {
    /// Client of the table.
    pub table: TableClient,
    /// Client of the object store.
    pub objects: ObjectClient,
    /// Client of the list of endpoints.
    pub members: MembershipClient,
    /// Client of agents.
    pub agents: AgentClient,
}

/// The clients.
#[derive(Debug, Clone)]
pub struct Clients {
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) members: MembershipClient,
    pub(crate) agents: AgentClient,
}

impl Service for Clients {
    const NAME: &'static str = "clients";

    type Settings = ClientsSettings;
    type Error = Infallible;

    async fn open(settings: ClientsSettings, _: &Directory) -> Result<Self, Infallible> {
        Ok(Self {
            table: settings.table,
            objects: settings.objects,
            members: settings.members,
            agents: settings.agents,
        })
    }

    async fn stop(&self) {}
}
