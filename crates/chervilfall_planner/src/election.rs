//! Who holds a group: read from the claim row, which moves with every commit of the holder.

use serde::{Deserialize, Serialize};

use crate::commit::{Batch, RowChange, RowKey};
use crate::ids::{Fence, Millis, RowVersion};
use crate::record::{decode, encode, RecordError, CLAIMS, HOLDER};

/// How long the answer to a claim is awaited: some times what a slow store takes.
const CLAIM_TIMEOUT_MS: Millis = 1_000;

/// How long a refused connection counts as a sign that the holder's process is gone.
const REFUSED_MS: Millis = 1_000;

/// How long machines with little processor leave a claim to others: the time that those need to
/// notice and to claim.
const DEFERENCE_MS: Millis = 1_200;
/// How long a holder that still reads its rows is left alone by machines with twice its processor, which read them sooner:
/// longer than such a machine takes for all of it.
const OUTRANKED_MS: Millis = 1_000;
/// How long a larger holder is remembered that may come back.
pub(crate) const LARGEST_RETENTION_MS: Millis = 30_000;
/// How long a node leaves the claim to others after it has handed it back because it could not read the rows.
const ABSTENTION_MS: Millis = 2_000;
/// A machine with this share defers to nobody while there is no holder yet; below half of it, it does.
const LARGE_PERMILLE: u64 = 500;

/// The claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Grows with every claim.
    pub term: u64,
    /// Holder.
    pub node: String,
    /// Random number of the holder's process, which tells it from an earlier one of that name.
    pub incarnation: u64,
    /// Where its links are taken.
    pub address: String,
    /// Number of the last commit.
    pub number: u64,
    /// The holder has handed the group back.
    pub released: bool,
    /// The holder has seen all endpoints that earlier holders may have given leases, or these have
    /// lapsed.
    pub settled: bool,
    /// Processor share of the holder's machine, in thousandths of a core.
    pub cpu_permille: u64,
    /// The holder still reads the group's rows and serves nobody.
    #[serde(default)]
    pub recovering: bool,
    /// Processor share of the largest machine that could hold the group: linked to the holder, or a holder of late.
    #[serde(default)]
    pub wanted_permille: u64,
    /// How long the row may stand still before the holder is taken for lost, as the holder asks for by the
    /// gaps between its commits; 0 if it does not know yet.
    #[serde(default)]
    pub standstill_ms: Millis,
    /// The store's steady clock when the row was written, as the writer knew it; 0 if it did not.
    pub written_store_ms: Millis,
}

impl HolderRow {
    /// Returns the value of the row.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads the value of the row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a claim.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

/// A claim that was won.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// The new claim row.
    pub row: HolderRow,
    /// Version of the claiming commit: the fencing token.
    pub fence: Fence,
    /// Version of the claim row now: the condition of the next commit.
    pub version: RowVersion,
    /// When the predecessor's last commit was first seen here; no lease of its reaches further
    /// than the claim's cover from there. None if there was no predecessor.
    pub predecessor_seen_ms: Option<Millis>,
    /// The store's steady clock at the predecessor's last commit, as it said itself; 0 if it did not.
    pub predecessor_written_store_ms: Millis,
    /// Set if the predecessor was an earlier process on this very machine, which has granted nothing
    /// since this process began, and if no lease of still earlier holders was left.
    pub predecessor_gone_ms: Option<Millis>,
}

/// What a candidate should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CandidateAction {
    /// Follow this holder; if its row stands still for `claim_in_ms` more, it can be claimed.
    Follow {
        /// The claim row.
        holder: HolderRow,
        /// What is left of the standstill.
        claim_in_ms: Millis,
    },
    /// Leave the claim to others for now.
    Wait,
    /// Write this batch to claim the group.
    Claim(Batch, HolderRow),
}

/// How long the row must stand still before it is claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StallTimeouts {
    /// While the holder has not said how long.
    pub unreported_ms: Millis,
    /// Instead, if the holder's address refuses connections: its process is gone.
    pub refused_ms: Millis,
    /// Added because the store is slow to answer, and so to take the holder's commits.
    pub slow_ms: Millis,
}

impl StallTimeouts {
    /// Returns the standstill after which a holder is taken for lost.
    fn of(&self, holder: &HolderRow, refused: bool) -> Millis {
        let still_ms = match holder.standstill_ms {
            _ if refused => self.refused_ms,
            0 => self.unreported_ms,
            said_ms => said_ms,
        };
        still_ms + self.slow_ms
    }
}

/// A holder whose address has refused a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RefusedHolder {
    term: u64,
    incarnation: u64,
    at_ms: Millis,
}

impl RefusedHolder {
    /// Returns whether it still speaks against this holder. It says nothing of the next one, which reads its rows
    /// for some tenths of a second before links to it are there: held against everybody, refusals made two nodes
    /// depose each other four times in 0.9 s after all 97 had lost power.
    fn is(&self, holder: &HolderRow, now: Millis) -> bool {
        self.term == holder.term
            && self.incarnation == holder.incarnation
            && now.saturating_sub(self.at_ms) < REFUSED_MS
    }
}

#[derive(Debug, Clone)]
struct Seen {
    version: RowVersion,
    first_ms: Millis,
    row: Option<HolderRow>,
}

/// Watches the claim row on behalf of a node that has no working planner.
#[derive(Debug, Clone)]
pub struct Candidate {
    identity: Identity,
    seen: Option<Seen>,
    /// When the row was first read again, if it could not be read before.
    readable_ms: Option<Millis>,
    /// The last attempt to read the row failed.
    unreadable: bool,
    /// The last holder that refused a connection.
    refused: Option<RefusedHolder>,
    /// The newest term that was seen, and when first.
    term: Option<(u64, Millis)>,
    /// Processor share of the largest holder that was seen, in thousandths of a core, and when last.
    largest: Option<(u64, Millis)>,
    /// Until when the claim is left to others.
    abstains_until_ms: Millis,
}

/// Who a candidate is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the node.
    pub node: String,
    /// Random number of its process.
    pub incarnation: u64,
    /// Where its links are taken.
    pub address: String,
    /// When its process began.
    pub started_ms: Millis,
    /// Processor share of its machine, in thousandths of a core.
    pub cpu_permille: u64,
}

impl Candidate {
    /// Returns a candidate that has read nothing yet.
    #[must_use]
    pub const fn new(identity: Identity) -> Self {
        Self {
            identity,
            seen: None,
            readable_ms: None,
            unreadable: false,
            refused: None,
            term: None,
            largest: None,
            abstains_until_ms: 0,
        }
    }

    /// Returns how long this node leaves the claim to machines with more processor: a planner's work
    /// grows with the fleet, and a machine with half of what the last holder had falls behind.
    const fn deference_ms(&self, last_permille: u64) -> Millis {
        if self.identity.cpu_permille * 2 < last_permille {
            DEFERENCE_MS
        } else {
            0
        }
    }

    /// Forgets what was read: the holder works, so that an old reading tells nothing.
    pub fn reset(&mut self) {
        self.seen = None;
        self.readable_ms = None;
        self.unreadable = false;
    }

    /// Leaves the claim to others for a while: this node has handed it back.
    pub fn back_off(&mut self, now: Millis) {
        self.abstains_until_ms = now + ABSTENTION_MS;
    }

    /// Notes how large the holder's machine is and those that it is linked to; returns the largest of late.
    fn largest_permille(&mut self, now: Millis, holder: &HolderRow) -> u64 {
        let seen = holder.cpu_permille.max(holder.wanted_permille);
        let known = self.largest.filter(|(permille, seen_ms)| {
            *permille > seen && now.saturating_sub(*seen_ms) < LARGEST_RETENTION_MS
        });
        let largest = known.unwrap_or((seen, now));
        self.largest = Some(largest);
        largest.0
    }

    /// Returns whether a holder that still reads its rows can be replaced by this node, which reads them sooner. Machines
    /// can follow each other so only while each has twice the processor of the one before.
    fn is_preferred_over(&self, now: Millis, holder: &HolderRow) -> bool {
        let since_ms = self.term.map_or(now, |(_, since_ms)| since_ms);
        let larger = self.identity.cpu_permille >= 2 * holder.cpu_permille;
        holder.recovering && larger && now.saturating_sub(since_ms) >= OUTRANKED_MS
    }

    /// Notes that the address of a holder has refused a connection.
    pub fn record_refused_connection(&mut self, now: Millis, holder: &HolderRow) {
        self.refused = Some(RefusedHolder {
            term: holder.term,
            incarnation: holder.incarnation,
            at_ms: now,
        });
    }

    /// Notes that the row could not be read: nobody could renew the claim meanwhile either, so that
    /// its standstill counts from the next reading only.
    pub fn record_unreadable(&mut self) {
        self.unreadable = true;
    }

    /// Takes a reading of the claim row, and of the store's clock.
    ///
    /// The row says when it was written by the store's clock, so that one reading can tell how long
    /// it has stood still. A claim that comes too early does no harm but to the work of a takeover.
    pub fn observe(
        &mut self,
        now: Millis,
        store_ms: Millis,
        version: RowVersion,
        row: Option<HolderRow>,
        stall: &StallTimeouts,
    ) -> CandidateAction {
        if std::mem::take(&mut self.unreadable) {
            self.readable_ms = Some(now);
        }
        let term = row.as_ref().map_or(0, |row| row.term);
        if self.term.is_none_or(|(known, _)| known != term) {
            self.term = Some((term, now));
        }
        let known = self.seen.as_ref().filter(|seen| seen.version == version);
        let first_ms = known.map_or(now, |seen| seen.first_ms);
        self.seen = Some(Seen {
            version,
            first_ms,
            row: row.clone(),
        });
        let abstains = now < self.abstains_until_ms;
        match row {
            None => {
                let deference_ms = self.deference_ms(LARGE_PERMILLE);
                if abstains || now.saturating_sub(first_ms) < deference_ms {
                    return CandidateAction::Wait;
                }
                self.claim(0, version)
            }
            Some(holder) => {
                let own = self.is_own(&holder);
                let largest_permille = self.largest_permille(now, &holder);
                let deference_ms = if own {
                    0
                } else {
                    self.deference_ms(largest_permille)
                };
                let refused = self.refused.is_some_and(|refused| refused.is(&holder, now));
                let stall_ms = stall.of(&holder, refused) + deference_ms;
                let deferred = now.saturating_sub(first_ms) >= deference_ms;
                let free = own || (holder.released && deferred);
                let seen_still_ms = now.saturating_sub(first_ms);
                let written_ms = holder.written_store_ms;
                let said_still_ms = if written_ms == 0 {
                    0
                } else {
                    store_ms.saturating_sub(written_ms)
                };
                let readable_for_ms = self
                    .readable_ms
                    .map_or(Millis::MAX, |at_ms| now.saturating_sub(at_ms));
                let age_ms = seen_still_ms.max(said_still_ms).min(readable_for_ms);
                let stalled = age_ms >= stall_ms && deferred;
                if !abstains && (free || stalled || self.is_preferred_over(now, &holder)) {
                    return self.claim(holder.term, version);
                }
                CandidateAction::Follow {
                    holder,
                    claim_in_ms: stall_ms.saturating_sub(age_ms),
                }
            }
        }
    }

    /// Returns whether the holder is this process, or an earlier one on this machine.
    fn is_own(&self, holder: &HolderRow) -> bool {
        holder.node == self.identity.node && holder.address == self.identity.address
    }

    fn claim(&self, term: u64, version: RowVersion) -> CandidateAction {
        let row = HolderRow {
            term: term + 1,
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            address: self.identity.address.clone(),
            cpu_permille: self.identity.cpu_permille,
            recovering: true,
            wanted_permille: self.largest.map_or(0, |(permille, _)| permille),
            number: 0,
            released: false,
            settled: false,
            standstill_ms: 0,
            written_store_ms: 0,
        };
        let key = RowKey {
            table: CLAIMS,
            key: HOLDER.to_owned(),
        };
        let batch = Batch {
            number: 0,
            copy: 0,
            expected: version,
            changes: vec![RowChange::Put(key, row.encode())],
            timeout_ms: CLAIM_TIMEOUT_MS,
        };
        CandidateAction::Claim(batch, row)
    }

    /// Returns the batch that renews a claim while its holder does not plan yet.
    #[must_use]
    pub fn renewal(takeover: &Takeover) -> Batch {
        Self::next_batch(takeover, false)
    }

    /// Returns the batch that hands such a claim back.
    #[must_use]
    pub fn hand_back(takeover: &Takeover) -> Batch {
        Self::next_batch(takeover, true)
    }

    fn next_batch(takeover: &Takeover, released: bool) -> Batch {
        let mut row = takeover.row.clone();
        row.number += 1;
        row.released = released;
        let key = RowKey {
            table: CLAIMS,
            key: HOLDER.to_owned(),
        };
        Batch {
            number: row.number,
            copy: 0,
            expected: takeover.version,
            changes: vec![RowChange::Put(key, row.encode())],
            timeout_ms: CLAIM_TIMEOUT_MS,
        }
    }

    /// Returns the claim that was won with a batch of [`Candidate::observe`].
    #[must_use]
    pub fn won(&self, row: HolderRow, version: Fence) -> Takeover {
        let predecessor = self.seen.as_ref().filter(|seen| seen.row.is_some());
        Takeover {
            row,
            fence: version,
            version,
            predecessor_seen_ms: predecessor.map(|seen| seen.first_ms),
            predecessor_written_store_ms: predecessor
                .and_then(|seen| seen.row.as_ref())
                .map_or(0, |holder| holder.written_store_ms),
            predecessor_gone_ms: predecessor
                .and_then(|seen| seen.row.as_ref())
                .filter(|holder| {
                    self.is_own(holder)
                        && holder.settled
                        && holder.incarnation != self.identity.incarnation
                })
                .map(|_| self.identity.started_ms),
        }
    }
}
