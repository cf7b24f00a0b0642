//! Nodes: planners, candidates, and what their actions become.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Instant;

use chervilfall_planner::{
    Action, AdviceAnswer, Batch, CandidateMove, CommitOutcome, EndpointEntry, EndpointId, Event,
    HolderRow, JobId, JobRow, Planner, ProgressRow, RosterEntry, Stall, StartsRow, Stored,
};

use super::endpoint::FakeEndpoint;
use super::{Later, World, HOP_MS, TIMEOUT_MS, UNIX_MS};

impl World {
    pub(super) fn tell(&mut self, node: usize, term: u64, event: Event) {
        if self.nodes[node].frozen_until_ms > self.now {
            let wait_ms = self.nodes[node].frozen_until_ms - self.now;
            self.after(wait_ms, Later::Tell(node, term, Box::new(event)));
            return;
        }
        if self.nodes[node]
            .planner
            .as_ref()
            .is_some_and(|planner| planner.term() == term)
        {
            self.feed(node, event);
        }
    }

    pub(super) fn drive(&mut self, node: usize) {
        if self.nodes[node].frozen_until_ms > self.now {
            return;
        }
        self.tell_unstored(node);
        if self.nodes[node].planner.is_some() {
            if self.now % 500 == 0 && self.store_reachable(node) {
                let entries = self.endpoints.values().filter(|endpoint| endpoint.listed);
                let entries = if self.beats {
                    entries
                        .filter_map(|endpoint| endpoint.reported.clone())
                        .collect()
                } else {
                    let report = self.now;
                    let entry = |endpoint: &FakeEndpoint| EndpointEntry {
                        report,
                        ..endpoint.entry()
                    };
                    entries.map(entry).collect()
                };
                let read_ms = self.now;
                self.feed(node, Event::Endpoints { read_ms, entries });
            }
            if self.now % 10 == 0 {
                let unix_ms = UNIX_MS + self.now;
                self.feed(node, Event::Tick { unix_ms });
            }
            return;
        }
        if self.now % 200 == (node as u64 * 35) % 200 / 5 * 5 {
            if self.store_reachable(node) {
                self.watch_claim(node);
            } else {
                self.nodes[node].candidate.unreadable();
            }
        }
    }

    /// Tells the holder, once a link to it can work, what this node has started and could not store.
    fn tell_unstored(&mut self, node: usize) {
        let Some(holder) = self.holder() else {
            return;
        };
        let split =
            self.split_until_ms > self.now && self.nodes[node].domain != self.nodes[holder].domain;
        let frozen = self.nodes[holder].frozen_until_ms > self.now;
        if !split && !frozen && !self.nodes[node].unstored.is_empty() {
            let starts = std::mem::take(&mut self.nodes[node].unstored);
            self.feed(holder, Event::UnstoredStarts(starts));
        }
    }

    pub(super) fn store_reachable(&self, node: usize) -> bool {
        let split = self.split_until_ms > self.now && self.nodes[node].domain != 0;
        self.store.down_until_ms <= self.now
            && self.nodes[node].store_cut_until_ms <= self.now
            && !split
    }

    pub(super) fn watch_claim(&mut self, node: usize) {
        let (version, bytes) = self.store.row("claims", "holder");
        let row = bytes.map(|bytes| HolderRow::decode(&bytes).expect("claim row"));
        let stall = Stall {
            unsaid_ms: 1_500,
            refused_ms: 100,
            slow_ms: 0,
        };
        let moved = self.nodes[node]
            .candidate
            .observe(self.now, self.now, version, row, &stall);
        let CandidateMove::Claim(batch, row) = moved else {
            return;
        };
        let CommitOutcome::Stored { version, .. } = self.store.commit(self.now, &batch) else {
            return;
        };
        let takeover = self.nodes[node].candidate.won(row, version);
        let stored = self.stored();
        self.faults.push((
            self.now,
            format!("fault takeover by {node}, term {}", takeover.row.term),
        ));
        let mut planner = Planner::new(self.limits.clone(), takeover, stored, self.now);
        let config = Arc::clone(&self.config);
        planner.handle(self.now, Event::Configured(config));
        planner.handle(self.now, Event::Nodes((0..self.advisors).collect()));
        self.nodes[node].planner = Some(planner);
    }

    pub(super) fn stored(&self) -> Stored {
        let parse = |key: &String| key.parse::<JobId>().expect("job id");
        let jobs = self.store.table("jobs");
        let progress = self.store.table("progress");
        let roster = self.store.table("roster");
        let starts = self.store.table("starts");
        Stored {
            jobs: jobs
                .iter()
                .map(|(key, value)| (parse(key), JobRow::decode(value).expect("job")))
                .collect(),
            progress: progress
                .iter()
                .map(|(key, value)| (parse(key), ProgressRow::decode(value).expect("progress")))
                .collect(),
            roster: roster
                .iter()
                .flat_map(|(_, value)| RosterEntry::decode_all(value).expect("roster"))
                .collect(),
            starts: starts
                .iter()
                .map(|(key, value)| {
                    let slot = key.parse().expect("slot");
                    (slot, StartsRow::decode(value).expect("starts"))
                })
                .collect(),
        }
    }

    pub fn feed(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(planner) = &mut self.nodes[node].planner else {
            return;
        };
        let term = planner.term();
        let began = Instant::now();
        let actions = planner.handle(now, event);
        self.planning += began.elapsed();
        for action in actions {
            self.carry_out(node, term, action);
        }
    }

    pub(super) fn carry_out(&mut self, node: usize, term: u64, action: Action) {
        match action {
            Action::Reply { to, answer } => {
                self.nodes[node].replies.insert(to.number, answer);
            }
            Action::Commit(batch) => self.send_commit(node, term, batch),
            Action::Advise { order, .. } => {
                let granted = order
                    .endpoints
                    .iter()
                    .filter(|id| self.allows(&order.step, id))
                    .map(|id| (id.clone(), "ticket".to_owned()));
                let answer = AdviceAnswer::Granted(granted.collect());
                let number = order.number;
                let event = Event::Advised { number, answer };
                let takes_ms = if self.advice_timed {
                    order.timeout_ms - self.limits.advice_slack_ms
                } else {
                    15
                };
                self.after(takes_ms, Later::Tell(node, term, Box::new(event)));
            }
            Action::StepDown(_) => {
                let planner = self.nodes[node].planner.take();
                let unstored = planner.map(|planner| planner.unstored_starts());
                self.nodes[node].unstored = unstored.unwrap_or_default();
                self.nodes[node].candidate.reset();
            }
            order => self.send_order(node, term, order),
        }
    }

    /// Returns whether the advice service allows a step an endpoint, which never changes.
    fn allows(&self, step: &str, id: &EndpointId) -> bool {
        let mut hasher = DefaultHasher::new();
        (step, id).hash(&mut hasher);
        hasher.finish() % 100 < self.advice_percent
    }

    pub(super) fn send_commit(&mut self, node: usize, term: u64, batch: Batch) {
        let (number, copy) = (batch.number, batch.copy);
        let late = self.random.percent(self.store.lost_percent);
        if !self.store_reachable(node) {
            let outcome = if late {
                CommitOutcome::Unknown
            } else {
                CommitOutcome::NotDone
            };
            let event = Event::Committed {
                number,
                copy,
                outcome,
            };
            self.after(100, Later::Tell(node, term, Box::new(event)));
            return;
        }
        if late {
            let delay_ms = self.random.below(3_000);
            self.after(delay_ms, Later::Commit(node, term, Box::new(batch), false));
            let outcome = CommitOutcome::Unknown;
            let event = Event::Committed {
                number,
                copy,
                outcome,
            };
            self.after(TIMEOUT_MS, Later::Tell(node, term, Box::new(event)));
            return;
        }
        self.after(HOP_MS + 4, Later::Commit(node, term, Box::new(batch), true));
    }
}
