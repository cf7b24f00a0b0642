//! The configuration: one versioned row, changed by compare-and-set, that never goes back.

use chervilfall_platform::{
    Condition, Row, RowKey, RowVersion, ScanRequest, Transaction, TransactionAnswer, Write,
};
use chervilfall_types::{EndpointName, Instant, Resources, TeamName, WorkClass};
use chervilfall_wire::PeerMessage;
use serde::{Deserialize, Serialize};

use crate::action::{StoreCall, StoreOrder};
use crate::context::Context;
use crate::event::{StoreFailure, StoreReply};
use crate::members::Members;
use crate::rpc::{RpcReply, Ticket};

/// Key of the configuration's row.
const ROW: &str = "configuration";
/// Prefix of the log lines.
const PART: &str = "config";
/// When to come back while the store is away, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Limit of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The team.
    pub team: TeamName,
    /// Its share against others.
    pub weight: u64,
    /// The most that its work may hold at a time.
    pub resources: Resources,
}

/// A service-level objective of one workload class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// The class.
    pub class: WorkClass,
    /// Share of requests that must succeed, in thousandths.
    pub success_permille: u64,
    /// Waiting time under which a request counts as good, in milliseconds.
    pub wait_ms: u64,
}

/// What operators decide.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// Version in force, or the version to replace.
    pub version: u64,
    /// Limits of teams.
    pub quotas: Vec<Quota>,
    /// Objectives of classes.
    pub objectives: Vec<Objective>,
    /// Endpoints that take no new work.
    pub drained: Vec<EndpointName>,
}

/// A change on its way to the store.
#[derive(Debug)]
struct Change {
    ticket: Ticket,
    document: ConfigurationDocument,
    text: String,
}

/// The configuration in force, and changes on their way.
#[derive(Debug)]
pub(crate) struct Configuration {
    document: ConfigurationDocument,
    confirmed: Instant,
    next_read: Instant,
    reading: bool,
    changes: Vec<Change>,
}

impl Configuration {
    pub(crate) fn new() -> Self {
        Self {
            document: ConfigurationDocument::default(),
            confirmed: Instant(0),
            next_read: Instant(0),
            reading: false,
            changes: Vec::new(),
        }
    }

    pub(crate) const fn document(&self) -> &ConfigurationDocument {
        &self.document
    }

    /// Returns the time since the version in force was last confirmed, in milliseconds.
    pub(crate) const fn age_ms(&self, now: Instant) -> u64 {
        now.since(self.confirmed)
    }

    /// Reads the row when it is time.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>) {
        if self.reading || context.now < self.next_read {
            return;
        }
        self.reading = true;
        self.next_read = context
            .now
            .after(context.settings.configuration_interval_ms);
        context.store(StoreOrder::Configuration, scan());
    }

    /// Takes what the regular read brought.
    pub(crate) fn read(&mut self, context: &mut Context<'_>, sent: Instant, reply: &StoreReply) {
        self.reading = false;
        if let StoreReply::Rows(Ok(rows)) = reply {
            self.take_rows(context, rows);
            self.confirmed = sent;
        }
    }

    /// Takes a configuration that a peer pushed; an older one is ignored.
    pub(crate) fn pushed(&mut self, context: &mut Context<'_>, version: u64, text: &str) {
        self.take(context, version, text);
    }

    /// Returns the push that tells a peer of the version in force.
    pub(crate) fn push(&self) -> Option<PeerMessage> {
        if self.document.version == 0 {
            return None;
        }
        Some(PeerMessage::Configuration {
            version: self.document.version,
            document: serde_json::to_string(&self.document).ok()?,
        })
    }

    /// Begins a change.
    pub(crate) fn change(
        &mut self,
        context: &mut Context<'_>,
        ticket: Ticket,
        document: ConfigurationDocument,
    ) {
        if document.version < self.document.version {
            let current = self.document.version;
            context.reply(ticket, conflict(document.version, current));
            return;
        }
        let Ok(text) = serde_json::to_string(&stored(&document, context, ticket)) else {
            return;
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: RowKey(ROW.to_owned()),
                version: RowVersion(document.version),
            }],
            writes: vec![Write {
                key: RowKey(ROW.to_owned()),
                value: Some(text.clone()),
            }],
        };
        self.changes.push(Change {
            ticket,
            document,
            text,
        });
        context.store(
            StoreOrder::ConfigurationChange(ticket),
            StoreCall::Commit(transaction),
        );
    }

    /// Takes the store's answer to a change.
    pub(crate) fn changed(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        ticket: Ticket,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Commit(Ok(answer)) => self.decided(context, members, ticket, &answer),
            StoreReply::Commit(Err(StoreFailure::Unknown)) => {
                context.store(StoreOrder::ConfigurationResolve(ticket), scan());
            }
            _ => self.unavailable(context, ticket, false),
        }
    }

    /// Takes the read that resolves a change with an unknown outcome.
    pub(crate) fn resolved(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        ticket: Ticket,
        reply: &StoreReply,
    ) {
        let StoreReply::Rows(Ok(rows)) = reply else {
            self.unavailable(context, ticket, true);
            return;
        };
        let Some(change) = self.changes.iter().find(|change| change.ticket == ticket) else {
            return;
        };
        let offered = change.document.version;
        let row = rows.iter().find(|row| row.key.0 == ROW);
        let current = row.map_or(0, |row| row.version.0);
        if row.is_some_and(|row| row.value == change.text) {
            self.decided(context, members, ticket, &TransactionAnswer::default());
        } else if current > offered {
            // Some later version is in force; whether ours was in between is not known.
            self.take_rows(context, rows);
            self.unavailable(context, ticket, true);
        } else {
            // The write may still be on its way to the store.
            self.unavailable(context, ticket, true);
        }
    }

    fn decided(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        ticket: Ticket,
        answer: &TransactionAnswer,
    ) {
        let Some(change) = self.remove(ticket) else {
            return;
        };
        if let Some(lost) = answer.conflicts.first() {
            let reply = conflict(change.document.version, lost.version.0);
            context.reply(ticket, reply);
            self.next_read = context.now;
            return;
        }
        self.take(context, change.document.version + 1, &change.text);
        if let Some(push) = self.push() {
            for peer in members.connected_peers(context.me()) {
                context.send(peer, push.clone());
            }
        }
        let document = Box::new(self.document.clone());
        context.reply(ticket, RpcReply::Configuration(document));
    }

    fn unavailable(&mut self, context: &mut Context<'_>, ticket: Ticket, may_have_run: bool) {
        if self.remove(ticket).is_some() {
            let reply = RpcReply::StoreUnavailable {
                may_have_run,
                retry_after_ms: RETRY_AFTER_MS,
            };
            context.reply(ticket, reply);
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Change> {
        let position = self
            .changes
            .iter()
            .position(|change| change.ticket == ticket)?;
        Some(self.changes.swap_remove(position))
    }

    fn take_rows(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        if let Some(row) = rows.iter().find(|row| row.key.0 == ROW) {
            self.take(context, row.version.0, &row.value);
        }
    }

    /// Puts a version in force unless one at least as new is.
    fn take(&mut self, context: &mut Context<'_>, version: u64, text: &str) {
        if version <= self.document.version {
            return;
        }
        match serde_json::from_str::<ConfigurationDocument>(text) {
            Ok(mut document) => {
                document.version = version;
                self.document = document;
                self.confirmed = context.now;
                context.log(PART, format!("Version {version} is in force."));
            }
            Err(error) => {
                context.log(PART, format!("Version {version} can't be read: {error}."));
            }
        }
    }
}

/// A document as it is stored, with the mark of the change that wrote it.
#[derive(Serialize)]
struct Stored<'a> {
    #[serde(flatten)]
    document: &'a ConfigurationDocument,
    change: String,
}

fn stored<'a>(
    document: &'a ConfigurationDocument,
    context: &Context<'_>,
    ticket: Ticket,
) -> Stored<'a> {
    Stored {
        document,
        change: format!("{}/{}", context.identity.incarnation, ticket.0),
    }
}

fn scan() -> StoreCall {
    StoreCall::Scan(ScanRequest {
        prefix: ROW.to_owned(),
    })
}

const fn conflict(offered: u64, current: u64) -> RpcReply {
    RpcReply::Conflict { offered, current }
}
