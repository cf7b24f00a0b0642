//! What surrounds the engines: agents, the table, and the faults of both.

use chervilfall_agent::{ExchangeAnswer, PollAnswer, PollRequest, StaleEpoch};
use chervilfall_core::{AgentCall, AgentFailure, AgentReply, StoreCall, StoreFailure, StoreReply};
use chervilfall_fake::{Agent, AgentLimits, FakeTable, FakeTime};
use chervilfall_platform::{EndpointRecord, EndpointState, MembershipList};
use chervilfall_types::{DomainName, EndpointName, RackName, Resources, ServiceName};

use crate::tamper::Tamper;

/// What every endpoint can carry.
pub(crate) const CAPACITY: Resources = Resources {
    processors_milli: 4_000,
    memory_mib: 8_192,
    accelerators: 0,
    slots: 3,
    connections: 16,
};
/// Service that the endpoints run.
pub(crate) const SERVICE: &str = "loans";
/// How long an endpoint goes on without a lease, in milliseconds.
pub(crate) const ORPHAN_MS: u64 = 4_000;

/// One endpoint.
#[derive(Debug)]
pub(crate) struct FakeEndpoint {
    pub(crate) agent: Agent,
    pub(crate) record: EndpointRecord,
    pub(crate) domain: usize,
    pub(crate) frozen_until_us: u64,
}

/// Platform and endpoints.
#[derive(Debug)]
pub(crate) struct Outside {
    pub(crate) endpoints: Vec<FakeEndpoint>,
    pub(crate) table: FakeTable,
    pub(crate) objects: std::collections::HashMap<String, String>,
    tamper: Option<Tamper>,
}

/// Returns the name of a failure domain.
///
/// # Panics
///
/// Never: the name is allowed.
pub(crate) fn domain_name(domain: usize) -> DomainName {
    DomainName::new(&format!("d{domain}")).expect("the name is allowed")
}

impl Outside {
    pub(crate) fn new(domains: usize, endpoints_a_domain: usize, tamper: Option<Tamper>) -> Self {
        let mut endpoints = Vec::new();
        for domain in 0..domains {
            for index in 0..endpoints_a_domain {
                endpoints.push(endpoint(domain, index));
            }
        }
        Self {
            endpoints,
            table: FakeTable::default(),
            objects: std::collections::HashMap::new(),
            tamper,
        }
    }

    /// Returns the endpoint with a base address.
    pub(crate) fn find(&self, base: &str) -> Option<usize> {
        self.endpoints.iter().position(|e| e.record.agent == base)
    }

    pub(crate) fn members(&self) -> MembershipList {
        MembershipList {
            endpoints: self.endpoints.iter().map(|e| e.record.clone()).collect(),
        }
    }

    /// Has an agent carry out a call; a poll without a change is answered with nothing yet.
    pub(crate) fn call_agent(
        &mut self,
        endpoint: usize,
        now: FakeTime,
        call: &AgentCall,
    ) -> Option<AgentReply> {
        let tamper = self.tamper;
        let agent = &mut self.endpoints[endpoint].agent;
        agent.advance(now);
        Some(match call {
            AgentCall::Lease(ask) => AgentReply::Lease(Ok(agent.lease(now, ask.clone()))),
            AgentCall::List(ask) => {
                let listed = agent.list(now, ask.epoch);
                let listed = listed.map(|mut list| {
                    if tamper == Some(Tamper::SkipFence) {
                        list.fence = String::new();
                    }
                    if tamper == Some(Tamper::Overfill) {
                        let amounts = list.capacity.amounts().map(|amount| amount * 4);
                        list.capacity = Resources::from_amounts(amounts);
                    }
                    list
                });
                AgentReply::List(stale(listed))
            }
            AgentCall::Exchange(ask) => {
                let mut ask = ask.clone();
                if tamper == Some(Tamper::SkipEpochCheck) {
                    ask.epoch = agent.force_epoch();
                }
                if tamper == Some(Tamper::IgnoreStartBy) {
                    agent.ignore_start_bound();
                }
                if tamper == Some(Tamper::Overfill) {
                    agent.ignore_capacity();
                }
                let answer: Result<ExchangeAnswer, StaleEpoch> = agent.exchange(now, ask);
                AgentReply::Exchange(stale(answer))
            }
            AgentCall::Poll(ask) => {
                if let Err(stale_epoch) = agent.renew(now, ask) {
                    return Some(AgentReply::Poll(Err(AgentFailure::Stale(stale_epoch))));
                }
                if !agent.has_events(ask.after) {
                    return None;
                }
                AgentReply::Poll(stale(agent.poll(now, ask)))
            }
            AgentCall::Release(ask) => AgentReply::Release(stale(agent.release(now, ask.epoch))),
        })
    }

    /// Ends a poll: with a change, or because its wait is over.
    pub(crate) fn end_poll(
        &mut self,
        endpoint: usize,
        now: FakeTime,
        ask: &PollRequest,
        over: bool,
    ) -> Option<AgentReply> {
        let agent = &mut self.endpoints[endpoint].agent;
        agent.advance(now);
        if !over && !agent.has_events(ask.after) {
            return None;
        }
        let answer: Result<PollAnswer, StaleEpoch> = agent.poll(now, ask);
        Some(AgentReply::Poll(stale(answer)))
    }

    /// Has the platform carry out a call.
    pub(crate) fn call_store(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Commit(transaction) => {
                StoreReply::Commit(Ok(self.table.commit(transaction)))
            }
            StoreCall::Scan(ask) => StoreReply::Rows(Ok(self.table.scan(&ask.prefix))),
            StoreCall::Members => StoreReply::Members(Ok(self.members())),
            StoreCall::PutObject { name, content } => {
                self.objects.insert(name.clone(), content.clone());
                StoreReply::ObjectWritten(Ok(()))
            }
            StoreCall::GetObject { name } => {
                let found = self.objects.get(name).cloned();
                StoreReply::Object(found.ok_or(StoreFailure::NoEffect))
            }
            StoreCall::DeleteObject { name } => {
                self.objects.remove(name);
                StoreReply::ObjectWritten(Ok(()))
            }
        }
    }
}

/// Returns the reply that a call without an answer gets.
pub(crate) const fn agent_failed(call: &AgentCall, failure: AgentFailure) -> AgentReply {
    match call {
        AgentCall::Lease(_) => AgentReply::Lease(Err(failure)),
        AgentCall::List(_) => AgentReply::List(Err(failure)),
        AgentCall::Exchange(_) => AgentReply::Exchange(Err(failure)),
        AgentCall::Poll(_) => AgentReply::Poll(Err(failure)),
        AgentCall::Release(_) => AgentReply::Release(Err(failure)),
    }
}

/// Returns the reply that a call without an answer gets.
pub(crate) const fn store_failed(call: &StoreCall, failure: StoreFailure) -> StoreReply {
    match call {
        StoreCall::Commit(_) => StoreReply::Commit(Err(failure)),
        StoreCall::Scan(_) => StoreReply::Rows(Err(failure)),
        StoreCall::Members => StoreReply::Members(Err(failure)),
        StoreCall::PutObject { .. } | StoreCall::DeleteObject { .. } => {
            StoreReply::ObjectWritten(Err(failure))
        }
        StoreCall::GetObject { .. } => StoreReply::Object(Err(failure)),
    }
}

fn stale<T>(result: Result<T, StaleEpoch>) -> Result<T, AgentFailure> {
    result.map_err(AgentFailure::Stale)
}

fn endpoint(domain: usize, index: usize) -> FakeEndpoint {
    let name = format!("e{domain}-{index}");
    let record = EndpointRecord {
        name: EndpointName::new(&name).expect("the name is allowed"),
        domain: domain_name(domain),
        rack: RackName::new(&format!("r{domain}")).expect("the name is allowed"),
        agent: format!("http://{name}"),
        service: ServiceName::new(SERVICE).expect("the name is allowed"),
        capacity: CAPACITY,
        state: EndpointState::Live,
    };
    let limits = AgentLimits {
        capacity: CAPACITY,
        orphan_ms: ORPHAN_MS,
    };
    FakeEndpoint {
        agent: Agent::new(record.name.clone(), limits, 0),
        record,
        domain,
        frozen_until_us: 0,
    }
}
