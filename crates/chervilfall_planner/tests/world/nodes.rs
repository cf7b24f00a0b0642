//! Nodes: their planners and candidates, and how the planners' actions are carried out.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Instant;

use chervilfall_planner::{
    decode_text, Action, AdviceAnswer, Batch, CandidateAction, CommitOutcome, EndpointEntry,
    EndpointId, Event, HolderRow, JobId, JobRow, LookupResult, PartRow, Planner, ProgressKey,
    ProgressRow, RosterEntry, StallTimeouts, StartsRow, StepDownReason, StoredGroup,
};

use super::endpoint::FakeEndpoint;
use super::random::Random;
use super::{ScheduledEvent, World, ONE_WAY_DELAY_MS, START_UNIX_MS, TIMEOUT_MS};

/// Maximum time that a new holder takes to read the tables that it does not need at once.
const HISTORY_READ_MS: u64 = 1_500;

impl World {
    pub(super) fn deliver_event(&mut self, node: usize, term: u64, event: Event) {
        let free_at_ms = self.free_at_ms(node);
        if free_at_ms > self.now {
            self.schedule(
                free_at_ms - self.now,
                ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
            );
            return;
        }
        // A planner knows answers to calls for advice by their number alone.
        let reaches_any_term = matches!(event, Event::Advised { .. });
        let planner = self.nodes[node].planner.as_ref();
        if planner.is_some_and(|planner| reaches_any_term || planner.term() == term) {
            self.handle_event(node, event);
        }
    }

    pub(super) fn run_node(&mut self, node: usize) {
        if self.free_at_ms(node) > self.now {
            return;
        }
        self.forward_unstored_starts(node);
        if self.nodes[node].planner.is_some() {
            if self.now % 500 == 0 && self.store_reachable(node) {
                let entries = self.endpoints.values().filter(|endpoint| endpoint.listed);
                let entries = if self.uses_reported_entries {
                    entries
                        .filter_map(|endpoint| endpoint.reported.clone())
                        .collect()
                } else {
                    let report = self.now;
                    let entry = |endpoint: &FakeEndpoint| EndpointEntry {
                        report,
                        ..endpoint.entry(report)
                    };
                    entries.map(entry).collect()
                };
                let read_ms = self.now;
                let evacuated = self.evacuated.clone();
                let list = Event::Endpoints {
                    read_ms,
                    entries,
                    evacuated,
                };
                self.handle_event(node, list);
            }
            if self.now % 10 == 0 {
                let unix_ms = START_UNIX_MS + self.now;
                self.handle_event(node, Event::Tick { unix_ms });
            }
            return;
        }
        if self.now % 200 == (node as u64 * 35) % 200 / 5 * 5 {
            if self.store_reachable(node) {
                self.observe_claim(node);
            } else {
                self.nodes[node].candidate.record_unreadable();
            }
        }
    }

    /// Forwards this node's starts that it could not store to the holder, once a link to it can
    /// work.
    fn forward_unstored_starts(&mut self, node: usize) {
        let Some(holder) = self.holder() else {
            return;
        };
        let split = self.partitioned_until_ms > self.now
            && self.nodes[node].domain != self.nodes[holder].domain;
        let frozen = self.nodes[holder].frozen_until_ms > self.now;
        if !split && !frozen && !self.nodes[node].unstored.is_empty() {
            let starts = std::mem::take(&mut self.nodes[node].unstored);
            self.handle_event(holder, Event::UnstoredStarts(starts));
        }
    }

    pub(super) fn store_reachable(&self, node: usize) -> bool {
        let split = self.partitioned_until_ms > self.now && self.nodes[node].domain != 0;
        self.store.down_until_ms <= self.now
            && self.nodes[node].store_cut_until_ms <= self.now
            && !split
    }

    pub(super) fn observe_claim(&mut self, node: usize) {
        let (version, bytes) = self.store.row("claims", "holder");
        let row = bytes.map(|bytes| HolderRow::decode(&bytes).expect("claim row"));
        let stall = StallTimeouts {
            unreported_ms: 1_500,
            refused_ms: 100,
            slow_ms: 0,
        };
        let moved = self.nodes[node]
            .candidate
            .observe(self.now, self.now, version, row, &stall);
        let CandidateAction::Claim(batch, row) = moved else {
            return;
        };
        let CommitOutcome::Stored { version, .. } = self.store.commit(self.now, &batch) else {
            return;
        };
        let mut takeover = self.nodes[node].candidate.won(row, version);
        let percent = self.unanswered_renewal_percent;
        if percent > 0 && self.random.percent(percent) {
            self.store.commit(self.now, &takeover.renewal());
        }
        let stored = self.stored();
        self.taken_over_ms = self.now;
        self.faults.push((
            self.now,
            format!("fault takeover by {node}, term {}", takeover.row.term),
        ));
        let mut planner = Planner::new(self.limits.clone(), takeover, stored, self.now);
        let config = Arc::clone(&self.config);
        planner.handle(self.now, Event::Configured(config));
        planner.handle(self.now, Event::Nodes((0..self.advisors).collect()));
        self.nodes[node].planner = Some(planner);
        self.read_history(node);
    }

    /// Delivers the texts and ended jobs to a new holder, in several parts and some time after its
    /// takeover.
    fn read_history(&mut self, node: usize) {
        let term = self.nodes[node].planner.as_ref().map_or(0, Planner::term);
        let parse = |key: &String| key.parse::<JobId>().expect("job id");
        let texts = self.store.table("texts");
        let texts = texts.iter().map(|(key, value)| {
            let text = decode_text(value).expect("text");
            (parse(key), Arc::from(text))
        });
        let ended = self.store.table("ended");
        let ended = ended.iter().map(|(key, value)| {
            let row = ProgressRow::decode(value).expect("an end");
            (parse(key), row)
        });
        let (texts, ended): (Vec<_>, Vec<_>) = (texts.collect(), ended.collect());
        // A separate generator, so that existing seeds reproduce the same histories.
        let mut random = Random::new(self.now + term);
        let mut at_ms = 0;
        let mut events: Vec<Event> = Vec::new();
        events.extend(texts.chunks(3).map(|part| Event::Texts(part.to_vec())));
        events.push(Event::TextsRead);
        events.extend(ended.chunks(3).map(|part| Event::Ended(part.to_vec())));
        events.push(Event::HistoryRead);
        let most_ms = HISTORY_READ_MS / events.len() as u64 + 1;
        for event in events {
            at_ms += random.below(most_ms);
            self.schedule(
                at_ms,
                ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
            );
        }
    }

    fn read_text(&mut self, node: usize, term: u64, id: JobId) {
        let row = self.store.row("texts", &id.to_string()).1;
        let row = row.filter(|_| self.store_reachable(node));
        let text = row.map(|value| Arc::from(decode_text(&value).expect("text")));
        let event = Event::TextRead { id, text };
        self.schedule(
            2 * ONE_WAY_DELAY_MS,
            ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
        );
    }

    /// Answers a lookup of an ended job's row.
    fn look_up(&mut self, node: usize, term: u64, id: JobId) {
        let look = if self.store_reachable(node) {
            match self.store.row("ended", &id.to_string()) {
                (_, Some(value)) => {
                    LookupResult::Ended(ProgressRow::decode(&value).expect("an end"))
                }
                (_, None) => LookupResult::Absent,
            }
        } else {
            LookupResult::Failed
        };
        let event = Event::LookedUp { id, look };
        self.schedule(
            2 * ONE_WAY_DELAY_MS,
            ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
        );
    }

    pub(super) fn stored(&self) -> StoredGroup {
        let parse = |key: &String| key.parse::<JobId>().expect("job id");
        let jobs = self.store.table("jobs");
        let (progress, parts): (Vec<_>, Vec<_>) = self
            .store
            .table("progress")
            .into_iter()
            .partition(|(key, _)| key.parse::<JobId>().is_ok());
        let part = |key: &String| match key.parse().expect("key of progress") {
            ProgressKey::Part(key) => key,
            ProgressKey::Job(id) => panic!("not a part: {id}"),
        };
        let roster = self.store.table("roster");
        let starts = self.store.table("starts");
        StoredGroup {
            jobs: jobs
                .iter()
                .map(|(key, value)| (parse(key), JobRow::decode(value).expect("job")))
                .collect(),
            progress: progress
                .iter()
                .map(|(key, value)| (parse(key), ProgressRow::decode(value).expect("progress")))
                .collect(),
            progress_parts: parts
                .iter()
                .map(|(key, value)| (part(key), PartRow::decode(value).expect("part")))
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

    pub fn handle_event(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(planner) = &mut self.nodes[node].planner else {
            return;
        };
        let term = planner.term();
        let began = Instant::now();
        let actions = planner.handle(now, event);
        self.planning += began.elapsed();
        self.charge_work(node);
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
            Action::Advise {
                node: advisor,
                order,
            } if self.failing_advisors.contains(&advisor) => {
                self.failed_advice_calls += 1;
                let (number, answer) = (order.number, AdviceAnswer::Failed);
                let event = Event::Advised { number, answer };
                self.schedule(
                    2 * ONE_WAY_DELAY_MS,
                    ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
                );
            }
            Action::Advise { order, .. } => {
                let granted = order
                    .endpoints
                    .iter()
                    .filter(|id| self.is_endpoint_allowed(&order.step, id))
                    .map(|id| (id.clone(), order.step.clone()));
                let answer = AdviceAnswer::Granted(granted.collect());
                let number = order.number;
                let event = Event::Advised { number, answer };
                let takes_ms = if self.advice_timed {
                    order.timeout_ms - self.limits.advice_slack_ms
                } else {
                    15
                };
                self.schedule(
                    takes_ms,
                    ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
                );
            }
            Action::LookUp(id) => self.look_up(node, term, id),
            Action::ReadText(id) => self.read_text(node, term, id),
            Action::StepDown(reason) => {
                let planner = self.nodes[node].planner.take();
                let unstored = planner.map(|planner| planner.unstored_starts());
                self.nodes[node].unstored = unstored.unwrap_or_default();
                self.nodes[node].candidate.reset();
                if reason == StepDownReason::Released {
                    self.nodes[node].candidate.record_release(self.now);
                }
            }
            order => self.send_order(node, term, order),
        }
    }

    /// Returns whether the advice service allows a step to use an endpoint; this never changes.
    pub fn is_endpoint_allowed(&self, step: &str, id: &EndpointId) -> bool {
        let mut hasher = DefaultHasher::new();
        (step, id).hash(&mut hasher);
        let job = step.split('.').next().and_then(|job| job.parse().ok());
        let percent = job.and_then(|job: JobId| self.advice_percents.get(&job));
        hasher.finish() % 100 < percent.copied().unwrap_or(self.advice_percent)
    }

    pub(super) fn send_commit(&mut self, node: usize, term: u64, batch: Batch) {
        let (number, copy) = (batch.number, batch.copy);
        let late = self.random.percent(self.store.lost_answer_percent);
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
            self.schedule(
                100,
                ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
            );
            return;
        }
        if late {
            let delay_ms = self.random.below(3_000);
            self.schedule(
                delay_ms,
                ScheduledEvent::ApplyCommit(node, term, Box::new(batch), false),
            );
            let outcome = CommitOutcome::Unknown;
            let event = Event::Committed {
                number,
                copy,
                outcome,
            };
            self.schedule(
                TIMEOUT_MS,
                ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
            );
            return;
        }
        self.schedule(
            ONE_WAY_DELAY_MS + 4 + self.store.slow_ms,
            ScheduledEvent::ApplyCommit(node, term, Box::new(batch), true),
        );
    }
}
