//! Nodes that elect a holder through the claim row and hand the group over, in virtual time.

#![allow(dead_code)]

use chervilfall_planner::{
    Candidate, CandidateAction, HandoverPolicy, HolderRow, HolderTerm, Identity, LoadReport,
    NodeResources, StallTimeouts,
};

/// Virtual time between steps, in milliseconds: a tick of the planner.
const STEP_MS: u64 = 10;
/// Interval between readings of the claim row, in milliseconds.
const POLL_MS: u64 = 70;
/// Interval between renewals of the claim, in milliseconds.
const RENEW_MS: u64 = 150;
/// Stall timeout that holders report, in milliseconds.
const STANDSTILL_MS: u64 = 400;
/// Followers read the claim row if it was not renewed for this long, in milliseconds.
const STALE_MS: u64 = 300;
/// Interval between reports of the holder's load, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// CPU of all nodes, in thousandths of a core.
const CPU_PERMILLE: u64 = 500;

/// A node that can hold the group.
pub struct Elector {
    candidate: Candidate,
    pub size_permille: u64,
    /// The process runs.
    pub alive: bool,
    /// Events wait in its control thread while it holds the group.
    pub overloaded: bool,
}

/// A term that a node has begun.
pub struct Term {
    pub node: usize,
    pub began_ms: u64,
}

/// Nodes and the claim row that they share.
pub struct Electorate {
    pub now: u64,
    pub nodes: Vec<Elector>,
    version: u64,
    row: Option<HolderRow>,
    /// All terms so far.
    pub terms: Vec<Term>,
    /// Decides for the holder.
    handover: Option<HandoverPolicy>,
}

impl Electorate {
    /// Returns nodes of equal processors with links of these rates in Mbit/s.
    pub fn with_links(links_mbps: &[f64]) -> Self {
        let nodes = links_mbps.iter().enumerate().map(|(node, link_mbps)| {
            let resources = NodeResources {
                cpu_permille: CPU_PERMILLE,
                link_mbps: Some(*link_mbps),
            };
            let size_permille = resources.size_permille();
            Elector {
                candidate: Candidate::new(Identity {
                    node: node.to_string(),
                    incarnation: node as u64,
                    address: format!("127.0.0.1:{node}"),
                    started_ms: 0,
                    size_permille,
                }),
                size_permille,
                alive: true,
                overloaded: false,
            }
        });
        Self {
            now: 10_000,
            nodes: nodes.collect(),
            version: 0,
            row: None,
            terms: Vec::new(),
            handover: None,
        }
    }

    /// Returns the node that holds the group, if it runs and has not released it.
    pub fn holder(&self) -> Option<usize> {
        let row = self.row.as_ref().filter(|row| !row.released)?;
        let node: usize = row.node.parse().ok()?;
        self.nodes.get(node).filter(|node| node.alive)?;
        Some(node)
    }

    /// Makes a node the holder.
    pub fn appoint(&mut self, node: usize) {
        let row = HolderRow {
            term: 1,
            node: node.to_string(),
            incarnation: node as u64,
            address: format!("127.0.0.1:{node}"),
            number: 0,
            released: false,
            settled: true,
            cpu_permille: self.nodes[node].size_permille,
            recovering: false,
            wanted_permille: 0,
            standstill_ms: STANDSTILL_MS,
            written_store_ms: 0,
        };
        self.write(row);
        self.begin_term(node);
    }

    fn begin_term(&mut self, node: usize) {
        self.terms.push(Term {
            node,
            began_ms: self.now,
        });
        self.handover = Some(HandoverPolicy::new(HolderTerm {
            size_permille: self.nodes[node].size_permille,
            began_ms: self.now,
            usual_claim_age_ms: STALE_MS,
            overload_handover: true,
        }));
    }

    /// Stops the holder as planned: it releases the group and makes no further claim.
    pub fn stop(&mut self, node: usize) {
        self.release();
        self.lose(node);
    }

    /// Ends the process of a node.
    pub fn lose(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// Releases the group for the holder.
    pub fn release(&mut self) {
        if let Some(row) = self.row.clone() {
            self.write(HolderRow {
                released: true,
                ..row
            });
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now + for_ms;
        while self.now < end_ms {
            self.now += STEP_MS;
            self.renew();
            self.hand_over();
            if self.now % POLL_MS < STEP_MS {
                for node in 0..self.nodes.len() {
                    self.poll(node);
                }
            }
        }
    }

    fn write(&mut self, row: HolderRow) {
        self.version += 1;
        self.row = Some(HolderRow {
            number: row.number + 1,
            written_store_ms: self.now,
            ..row
        });
    }

    fn renew(&mut self) {
        let Some(holder) = self.holder() else {
            return;
        };
        let Some(row) = self.row.clone() else {
            return;
        };
        if self.now < row.written_store_ms + RENEW_MS {
            return;
        }
        let linked = self.nodes.iter().enumerate();
        let linked = linked.filter(|(node, state)| *node != holder && state.alive);
        let largest = linked.map(|(_, state)| state.size_permille).max();
        self.write(HolderRow {
            wanted_permille: largest.unwrap_or(0),
            recovering: false,
            standstill_ms: STANDSTILL_MS,
            ..row
        });
    }

    /// Lets the holder decide about a handover.
    fn hand_over(&mut self) {
        let (Some(holder), Some(handover)) = (self.holder(), &mut self.handover) else {
            return;
        };
        if self.now % REPORT_INTERVAL_MS == 0 {
            let mean_wait_ms = if self.nodes[holder].overloaded { 80 } else { 3 };
            let report = LoadReport {
                covers_ms: REPORT_INTERVAL_MS,
                mean_wait_ms: Some(mean_wait_ms),
            };
            handover.record_load(self.now, report);
        }
        let written_ms = self.row.as_ref().map_or(0, |row| row.written_store_ms);
        let others = self.nodes.iter().enumerate();
        let others = others.filter(|(node, state)| *node != holder && state.alive);
        let largest_permille = others.map(|(_, state)| state.size_permille).max();
        let decision = handover.decide(self.now, self.now - written_ms, largest_permille);
        if decision.is_some() {
            self.release();
            self.nodes[holder].candidate.record_release(self.now);
        }
    }

    /// Lets a node read the claim row, unless it follows a working holder.
    fn poll(&mut self, node: usize) {
        let works = self.holder().is_some()
            && (self.row.as_ref()).is_some_and(|row| self.now < row.written_store_ms + STALE_MS);
        let state = &mut self.nodes[node];
        if !state.alive {
            return;
        }
        if works {
            state.candidate.reset();
            return;
        }
        let stall = StallTimeouts {
            unreported_ms: 1_200,
            refused_ms: 80,
            slow_ms: 0,
        };
        let (now, version) = (self.now, self.version);
        let moved = state
            .candidate
            .observe(now, now, version, self.row.clone(), &stall);
        if let CandidateAction::Claim(_, row) = moved {
            self.write(row);
            self.begin_term(node);
        }
    }
}
