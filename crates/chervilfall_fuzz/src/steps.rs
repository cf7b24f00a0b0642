//! What the steps of a history do to the world.

use chervilfall_core::{ConfigurationDocument, Event, RpcCall};
use chervilfall_types::{
    Priority, Request, RequestKey, Resources, ServiceName, TeamName, Work, WorkClass,
};

use crate::history::{StepKind, WorkKind};
use crate::links::Pair;
use crate::outside::SERVICE;
use crate::tamper::Tamper;
use crate::world::{Due, World, DOMAINS, ENTRIES};

/// Time within which a request wants its answer, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

impl World {
    pub(crate) fn step(&mut self, kind: StepKind) {
        match kind {
            StepKind::Submit { kind, entry } => {
                let number = self.submitted.len();
                let key = RequestKey::new(&format!("k{number}")).expect("the name is allowed");
                self.submitted.push((key, kind));
                self.submit(number, usize::from(entry) % ENTRIES);
            }
            StepKind::Repeat { request, entry } => {
                if !self.submitted.is_empty() {
                    let number = usize::from(request) % self.submitted.len();
                    self.submit(number, usize::from(entry) % ENTRIES);
                }
            }
            StepKind::Cancel { request, entry } => {
                if !self.submitted.is_empty() {
                    let number = usize::from(request) % self.submitted.len();
                    let key = self.submitted[number].0.clone();
                    self.oracle.cancelled(&key);
                    self.call(usize::from(entry) % ENTRIES, RpcCall::Cancel(key));
                }
            }
            StepKind::LookUp {
                request,
                entry,
                wait_ms,
            } => self.look_up(usize::from(request), usize::from(entry) % ENTRIES, wait_ms),
            StepKind::Kill { entry, gone_ms } => {
                let entry = usize::from(entry) % ENTRIES;
                self.kill(entry);
                self.schedule(us(gone_ms), Due::Replace { entry });
            }
            StepKind::Stop { entry } => {
                let entry = usize::from(entry) % ENTRIES;
                self.slots[entry].stopping = true;
                self.give(entry, Event::Stop);
            }
            StepKind::Pause { entry, for_ms } => {
                let entry = usize::from(entry) % ENTRIES;
                self.slots[entry].paused_until_us = self.now_us + us(for_ms);
            }
            StepKind::CutDomain { domain, for_ms } => {
                let domain = usize::from(domain) % DOMAINS;
                self.faults.cut_us[domain] = self.now_us + us(for_ms);
            }
            StepKind::CutPair { from, to, for_ms } => {
                let pair = Pair::of(usize::from(from) % ENTRIES, usize::from(to) % ENTRIES);
                let until_us = self.now_us + us(for_ms);
                self.faults.pairs.push((pair, until_us));
            }
            StepKind::Outage { for_ms } => {
                self.faults.outage_us = self.now_us + us(for_ms);
            }
            StepKind::LoseAnswers { for_ms } => {
                self.faults.lose_us = self.now_us + us(for_ms);
            }
            StepKind::SlowAgents { for_ms } => {
                self.faults.slow_us = self.now_us + us(for_ms);
            }
            StepKind::Freeze { endpoint, for_ms } => {
                let until_us = self.now_us + us(for_ms);
                self.endpoint(endpoint).frozen_until_us = until_us;
            }
            StepKind::FailEverything { endpoint, .. } => {
                self.endpoint(endpoint).agent.faults.fail_everything = true;
            }
            StepKind::Leave { endpoint } => {
                // The last endpoint of each domain stays, so that work can come to its end.
                let half = self.outside.endpoints.len() / DOMAINS;
                let endpoint = usize::from(endpoint) % DOMAINS * half;
                self.outside.endpoints[endpoint].agent.faults.leaving = true;
            }
            StepKind::Configure { first, second } => self.configure(first, second),
        }
    }

    fn endpoint(&mut self, endpoint: u8) -> &mut crate::outside::FakeEndpoint {
        let count = self.outside.endpoints.len();
        &mut self.outside.endpoints[usize::from(endpoint) % count]
    }

    fn submit(&mut self, number: usize, entry: usize) {
        if self.slots[entry].engine.is_none() {
            return;
        }
        let (key, kind) = self.submitted[number].clone();
        let request = request(key.clone(), kind, number);
        let nonce = self.slots[entry].nonce;
        let call = RpcCall::Submit {
            request,
            wait_ms: 0,
        };
        let next = self.peek_ticket();
        self.oracle.submitted(next, &key, kind, nonce, self.now_us);
        self.call(entry, call);
    }

    fn look_up(&mut self, request: usize, entry: usize, wait_ms: u16) {
        if self.submitted.is_empty() || self.slots[entry].engine.is_none() {
            return;
        }
        let key = self.submitted[request % self.submitted.len()].0.clone();
        let nonce = self.slots[entry].nonce;
        let next = self.peek_ticket();
        self.oracle.looked_up(next, &key, nonce);
        let wait_ms = u64::from(wait_ms);
        self.call(entry, RpcCall::Fetch { key, wait_ms });
    }

    /// Two operators replace the same version.
    fn configure(&mut self, first: u8, second: u8) {
        for entry in [first, second] {
            let entry = usize::from(entry) % ENTRIES;
            let Some(engine) = &self.slots[entry].engine else {
                continue;
            };
            let document = ConfigurationDocument {
                version: engine.configuration_version(),
                ..ConfigurationDocument::default()
            };
            let call = RpcCall::Configure(Box::new(document));
            self.call(entry, call);
        }
        if self.tamper == Some(Tamper::VersionGoesBack) {
            let nonce = self.slots[0].nonce;
            self.oracle.version(nonce, u64::MAX);
        }
    }
}

fn us(ms: u16) -> u64 {
    u64::from(ms) * 1_000
}

fn request(key: RequestKey, kind: WorkKind, number: usize) -> Request {
    let run_ms = 50 + (number as u64 * 137) % 900;
    let call = matches!(kind, WorkKind::Check | WorkKind::Match);
    let (class, tasks) = match kind {
        WorkKind::Check | WorkKind::Match => (WorkClass::Call, 1),
        WorkKind::Batch | WorkKind::BatchOnce => (WorkClass::Batch, 2),
        WorkKind::Gang => (WorkClass::Gang, 3),
        WorkKind::Service => (WorkClass::Service, 1),
    };
    let resources = match kind {
        WorkKind::Check | WorkKind::Match => Resources {
            slots: 1,
            connections: 1,
            ..Resources::default()
        },
        WorkKind::Service => Resources {
            processors_milli: 50,
            memory_mib: 64,
            ..Resources::default()
        },
        WorkKind::Batch | WorkKind::BatchOnce | WorkKind::Gang => Resources {
            processors_milli: 1_000,
            memory_mib: 512,
            ..Resources::default()
        },
    };
    Request {
        key,
        team: TeamName::new("team").expect("the name is allowed"),
        deadline_ms: DEADLINE_MS,
        work: Work {
            class,
            tasks,
            service: call.then(|| ServiceName::new(SERVICE).expect("the name is allowed")),
            resources,
            run_ms,
            priority: Priority::Normal,
            idempotent: !matches!(kind, WorkKind::Match | WorkKind::BatchOnce),
            payload: String::new(),
        },
    }
}
