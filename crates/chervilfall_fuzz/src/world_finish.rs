//! The end of a history: what callers are told once all faults are over, and the oracle's checks.

use std::collections::HashSet;

use chervilfall_core::{RpcCall, Ticket};
use chervilfall_fake::{JournalEntry, JournalKind};
use chervilfall_types::RequestKey;

use crate::history::StepKind;
use crate::oracle::Violation;
use crate::world::{RunReport, World};

/// How long instances may take to answer at the end, in microseconds.
const ANSWER_US: u64 = 1_000_000;

impl World {
    /// Returns what all endpoints recorded, in the order of time.
    fn journal(&self) -> Vec<JournalEntry> {
        let endpoints = self.outside.endpoints.iter();
        let mut journal: Vec<JournalEntry> = endpoints
            .flat_map(|endpoint| endpoint.agent.journal.iter().cloned())
            .collect();
        journal.sort_by_key(|entry| entry.at_us);
        journal
    }

    /// Asks the first instance for answers.
    fn fetch_all(&mut self, keys: Vec<RequestKey>) -> Vec<(Ticket, RequestKey)> {
        let mut asked = Vec::new();
        for key in keys {
            let next = self.peek_ticket();
            self.oracle.looked_up(next, &key, self.slots[0].nonce);
            let call = RpcCall::Fetch {
                key: key.clone(),
                wait_ms: 0,
            };
            asked.push((self.call(0, call), key));
        }
        asked
    }

    /// Notes a violation for each call that was not answered with a final answer.
    fn check_told_final(
        &mut self,
        asked: Vec<(Ticket, RequestKey)>,
        lost: fn(RequestKey) -> Violation,
    ) {
        for (ticket, key) in asked {
            if !self.is_told_final(ticket) {
                self.oracle.violations.push(lost(key));
            }
        }
    }

    /// Returns whether a call was answered with a final answer.
    fn is_told_final(&self, ticket: Ticket) -> bool {
        let told = self.finals.iter().find(|(t, _)| *t == ticket);
        told.is_some_and(|(_, answer)| answer.phase.is_final())
    }

    /// Asks for the answers of accepted jobs and of calls that ran, and has the oracle check
    /// everything.
    pub(crate) fn finish(&mut self, kinds: &[StepKind]) -> RunReport {
        let alive: HashSet<u64> = self.slots.iter().map(|slot| slot.nonce).collect();
        let jobs = self.fetch_all(self.oracle.accepted_jobs());
        let told = self.oracle.outcomes_told(&self.journal(), &alive);
        let calls = self.fetch_all(told);
        let until_us = self.now_us + ANSWER_US;
        self.run_until(until_us, kinds);
        self.check_told_final(jobs, Violation::LostJob);
        self.check_told_final(calls, Violation::LostOutcome);
        let journal = self.journal();
        self.oracle.finish(&journal, &alive);
        let started = |entry: &&JournalEntry| matches!(entry.kind, JournalKind::Started { .. });
        RunReport {
            violations: std::mem::take(&mut self.oracle.violations),
            requests: self.submitted.len() as u64,
            starts: journal.iter().filter(started).count() as u64,
            trace: self.trace.take().map_or_else(Vec::new, |trace| trace.lines),
        }
    }
}
