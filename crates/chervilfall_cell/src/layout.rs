//! Who stands where: failure domains, entry instances, endpoints, and their ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use chervilfall_load::Users;
use chervilfall_platform::{EndpointRecord, EndpointState, MembershipList};
use chervilfall_standin::Route;
use chervilfall_types::{DomainName, EndpointName, RackName, Resources, ServiceName};

/// Endpoints in one rack.
const RACK_ENDPOINTS: usize = 8;

/// An entry instance.
#[derive(Debug, Clone)]
pub struct LayoutEntry {
    /// Its number.
    pub number: u32,
    /// Its failure domain.
    pub domain: String,
    /// Where it listens for requests.
    pub rpc: SocketAddr,
    /// Where it listens for links.
    pub link: SocketAddr,
}

/// An endpoint.
#[derive(Debug, Clone)]
pub struct LayoutEndpoint {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its rack.
    pub rack: String,
}

/// Everything in a cell.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Whose cell it is.
    pub users: Users,
    /// The failure domains.
    pub domains: Vec<String>,
    /// The entry instances.
    pub entries: Vec<LayoutEntry>,
    /// The endpoints.
    pub endpoints: Vec<LayoutEndpoint>,
    /// Where the host of each failure domain's endpoints listens.
    pub hosts: Vec<SocketAddr>,
    /// Where the table listens.
    pub table: SocketAddr,
    /// Where the object store listens.
    pub objects: SocketAddr,
    /// Where the list of endpoints listens.
    pub members: SocketAddr,
    /// Where the relay between failure domains takes its faults.
    pub relay: SocketAddr,
    /// Ways between failure domains.
    pub routes: Vec<Route>,
    /// Ends of each route: who connects, and who listens.
    route_of: Vec<(u32, u32)>,
}

impl Layout {
    /// Returns the cell of users with free ports on a loopback host of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no free ports.
    pub fn new(
        users: Users,
        entries_a_domain: u32,
        endpoints_a_domain: usize,
    ) -> std::io::Result<Self> {
        let names: [&str; 3] = match users {
            Users::Consortium => ["atl-hall", "mcn-hall", "ath-hall"],
            Users::Association => ["ahd-hall", "gnr-hall", "vdr-hall"],
        };
        let entries = names.len() * entries_a_domain as usize;
        let count = 4 + names.len() + 2 * entries + entries * entries;
        let mut ports = free_ports(count)?.into_iter();
        let mut port = || {
            ports
                .next()
                .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        };
        let mut layout = Self {
            users,
            domains: names.iter().map(|name| (*name).to_owned()).collect(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            hosts: names.iter().map(|_| port()).collect(),
            table: port(),
            objects: port(),
            members: port(),
            relay: port(),
            routes: Vec::new(),
            route_of: Vec::new(),
        };
        for domain in names {
            for _ in 0..entries_a_domain {
                let number = u32::try_from(layout.entries.len()).unwrap_or(0) + 1;
                layout.entries.push(LayoutEntry {
                    number,
                    domain: domain.to_owned(),
                    rpc: port(),
                    link: port(),
                });
            }
            for index in 0..endpoints_a_domain {
                layout.endpoints.push(LayoutEndpoint {
                    name: format!("{domain}-{index:02}"),
                    domain: domain.to_owned(),
                    rack: format!("{domain}-rack-{}", index / RACK_ENDPOINTS),
                });
            }
        }
        layout.lay_routes(port);
        Ok(layout)
    }

    /// Lays a route for each pair of entry instances in different failure domains; the one with
    /// the lower number connects.
    fn lay_routes(&mut self, mut port: impl FnMut() -> SocketAddr) {
        for dialer in &self.entries {
            for target in &self.entries {
                if dialer.number < target.number && dialer.domain != target.domain {
                    self.routes.push(Route {
                        from: dialer.domain.clone(),
                        to: target.domain.clone(),
                        listen: port(),
                        target: target.link,
                    });
                    self.route_of.push((dialer.number, target.number));
                }
            }
        }
    }

    /// Returns the address at which one entry instance reaches another.
    #[must_use]
    pub fn link_address(&self, from: u32, to: &LayoutEntry) -> SocketAddr {
        let route = self
            .route_of
            .iter()
            .position(|ends| *ends == (from, to.number));
        route.map_or(to.link, |route| self.routes[route].listen)
    }

    /// Returns what an endpoint can carry.
    #[must_use]
    pub const fn capacity(&self) -> Resources {
        let (processors, memory_gib) = match self.users {
            Users::Consortium => (16, 32),
            Users::Association => (32, 64),
        };
        Resources {
            processors_milli: processors * 1_000,
            memory_mib: memory_gib * 1_024,
            accelerators: 0,
            slots: 8,
            connections: 64,
        }
    }

    /// Returns the platform's list of the endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not allowed.
    pub fn membership(&self) -> anyhow::Result<MembershipList> {
        let mut list = MembershipList::default();
        for endpoint in &self.endpoints {
            let domain = self.domains.iter().position(|d| *d == endpoint.domain);
            let host = self.hosts[domain.unwrap_or(0)];
            list.endpoints.push(EndpointRecord {
                name: EndpointName::new(&endpoint.name)?,
                domain: DomainName::new(&endpoint.domain)?,
                rack: RackName::new(&endpoint.rack)?,
                agent: format!("http://{host}/e/{}", endpoint.name),
                service: ServiceName::new(self.users.service())?,
                capacity: self.capacity(),
                state: EndpointState::Live,
            });
        }
        Ok(list)
    }
}

/// Returns free addresses on a loopback host that no other cell has.
///
/// The system hands a free port of a host out again as soon as it is released, to another cell or
/// to an outgoing connection; on a host of its own a cell keeps its ports.
fn free_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let host = loopback_host();
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((host, 0)))
        .collect::<std::io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// Draws a host of the loopback network; 127.0.0.0/16 is left to others.
fn loopback_host() -> Ipv4Addr {
    let net = rand::random_range(1..=u8::MAX);
    let [subnet, host] = rand::random::<[u8; 2]>();
    Ipv4Addr::new(127, net, subnet, host)
}
