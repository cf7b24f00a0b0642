//! Election of the holder of a group through the claim row, which every commit of the holder
//! updates.

use serde::{Deserialize, Serialize};

use crate::commit::{Batch, CommitOutcome, RowChange, RowKey};
use crate::ids::{Fence, Millis, RowVersion};
use crate::record::{decode, encode, RecordError, CLAIMS, HOLDER};

/// How long to wait for the answer to a claim: several times what a slow store takes.
const CLAIM_TIMEOUT_MS: Millis = 1_000;

/// How long a refused connection counts as evidence that the holder's process is gone.
const REFUSED_MS: Millis = 1_000;

/// Delay before small nodes claim the group: the time that larger nodes need to notice the lost
/// holder and to claim first.
const CLAIM_DELAY_MS: Millis = 1_200;
/// How long a holder may recover before a node of at least twice its size, which would recover
/// faster, replaces it: longer than such a node needs for the whole recovery.
const RECOVERY_GRACE_MS: Millis = 1_000;
/// How long the size of a larger holder is remembered, because that holder may return.
pub(crate) const LARGEST_RETENTION_MS: Millis = 30_000;
/// How long a node makes no claim after it has released the group because it could not read the
/// rows.
const BACK_OFF_MS: Millis = 2_000;
/// How long a node leaves the group to others after it has handed the group over.
const YIELD_MS: Millis = 10_000;
/// Delay of a claim during that time: longer than that of small nodes, so that these claim first.
const YIELD_CLAIM_DELAY_MS: Millis = CLAIM_DELAY_MS + 300;
/// Size assumed of the last holder while there is none yet: only nodes with less than half of it
/// delay their claim.
const LARGE_PERMILLE: u64 = 500;

/// The claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Number of the claim, which increases with every claim.
    pub term: u64,
    /// Name of the holder.
    pub node: String,
    /// Random number of the holder's process, which distinguishes it from earlier processes of the
    /// same node.
    pub incarnation: u64,
    /// Address at which the holder accepts links.
    pub address: String,
    /// Number of the last commit.
    pub number: u64,
    /// The holder has released the group.
    pub released: bool,
    /// Each endpoint to which earlier holders may have granted a lease has either contacted this
    /// holder or let its lease lapse.
    pub settled: bool,
    /// Size of the holder's node, in thousandths of a core: the CPU of its machine, or less if its
    /// link is slow.
    pub cpu_permille: u64,
    /// The holder is still reading the group's rows and serves no requests.
    #[serde(default)]
    pub recovering: bool,
    /// Size of the largest node that could hold the group: the holder, a node linked to it or a
    /// recent holder.
    #[serde(default)]
    pub wanted_permille: u64,
    /// How long the row may stay unchanged before the holder counts as lost, as requested by the
    /// holder on the basis of the gaps between its commits; 0 if it does not know yet.
    #[serde(default)]
    pub standstill_ms: Millis,
    /// The store's monotonic clock when the row was written, as estimated by the writer; 0 if
    /// unknown.
    pub written_store_ms: Millis,
}

impl HolderRow {
    /// Encodes the row.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes the row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a claim.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }

    /// Returns whether both rows were written under the same claim.
    pub(crate) const fn is_same_claim(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.term == other.term
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
    /// When this node first saw the predecessor's last commit. None of its leases extends beyond
    /// the claim cover counted from then. None if there was no predecessor.
    pub predecessor_seen_ms: Option<Millis>,
    /// The store's monotonic clock at the predecessor's last commit, as reported by the
    /// predecessor; 0 if it did not report it.
    pub predecessor_written_store_ms: Millis,
    /// Set if the predecessor was an earlier process on this machine, which cannot have granted
    /// leases since this process started, and no leases of earlier holders were left.
    pub predecessor_gone_ms: Option<Millis>,
}

/// What the outcome of a renewal shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// It is stored: the claim held when it was sent.
    Confirmed,
    /// It is not known to be stored.
    Unconfirmed,
    /// Another node has claimed the group.
    ClaimLost,
}

impl Takeover {
    /// Returns the batch that renews the claim before the planner of its holder is running.
    pub fn renewal(&mut self) -> Batch {
        self.next_batch(false)
    }

    /// Returns the batch that releases such a claim.
    pub fn release(&mut self) -> Batch {
        self.next_batch(true)
    }

    /// Returns a batch that only writes the claim row. Each batch of a claim has a number of its
    /// own, also if the one before was not answered: the row then tells which of them was stored.
    fn next_batch(&mut self, released: bool) -> Batch {
        self.row.number += 1;
        let row = HolderRow {
            released,
            ..self.row.clone()
        };
        let key = RowKey {
            table: CLAIMS,
            key: HOLDER.to_owned(),
        };
        Batch {
            number: row.number,
            copy: 0,
            expected: self.version,
            changes: vec![RowChange::Put(key, row.encode())],
            timeout_ms: CLAIM_TIMEOUT_MS,
        }
    }

    /// Records the outcome of the last renewal.
    pub fn record_renewal(&mut self, outcome: &CommitOutcome) -> RenewalOutcome {
        match outcome {
            CommitOutcome::Stored { version, .. } => {
                self.version = *version;
                RenewalOutcome::Confirmed
            }
            CommitOutcome::Conflict(found) => self.record_conflict(found.as_ref()),
            CommitOutcome::NotDone | CommitOutcome::Unknown => RenewalOutcome::Unconfirmed,
        }
    }

    /// Records that the claim row has another version than expected. A renewal that was not
    /// answered may have been stored.
    fn record_conflict(&mut self, found: Option<&(RowVersion, Vec<u8>)>) -> RenewalOutcome {
        let Some((version, row)) = found.and_then(|(version, bytes)| {
            let row = HolderRow::decode(bytes).ok()?;
            Some((*version, row))
        }) else {
            return RenewalOutcome::ClaimLost;
        };
        if !row.is_same_claim(&self.row) {
            return RenewalOutcome::ClaimLost;
        }
        self.version = version;
        if row.number == self.row.number {
            RenewalOutcome::Confirmed
        } else {
            RenewalOutcome::Unconfirmed
        }
    }
}

/// What a candidate should do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CandidateAction {
    /// Follow this holder; the group can be claimed if the row stays unchanged for `claim_in_ms`.
    Follow {
        /// The claim row.
        holder: HolderRow,
        /// Remaining time until the stall timeout.
        claim_in_ms: Millis,
    },
    /// Make no claim for now.
    Wait,
    /// Write this batch to claim the group.
    Claim(Batch, HolderRow),
}

/// How long the claim row must stay unchanged before another node claims the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StallTimeouts {
    /// Timeout while the holder has not requested one.
    pub unreported_ms: Millis,
    /// Timeout if the holder's address refuses connections, which means that its process is gone.
    pub refused_ms: Millis,
    /// Added in either case to allow for a slow store, which also delays the holder's commits.
    pub slow_ms: Millis,
}

impl StallTimeouts {
    /// Returns the time without a change of the row after which the holder counts as lost.
    fn for_holder(&self, holder: &HolderRow, refused: bool) -> Millis {
        let timeout_ms = match holder.standstill_ms {
            _ if refused => self.refused_ms,
            0 => self.unreported_ms,
            requested_ms => requested_ms,
        };
        timeout_ms + self.slow_ms
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
    /// Returns whether the refusal still counts against this holder. It must not count against the
    /// next one, which reads its rows for some tenths of a second before it accepts links. Without
    /// this check, two nodes replaced each other four times within 0.9 s after a power loss of all
    /// 97.
    fn applies_to(&self, holder: &HolderRow, now: Millis) -> bool {
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
    /// The newest term seen, and when it was first seen.
    term: Option<(u64, Millis)>,
    /// Size of the largest node seen, in thousandths of a core, and when it was last seen.
    largest: Option<(u64, Millis)>,
    /// Until when this node makes no claim.
    backs_off_until_ms: Millis,
    /// Until when this node claims the group only if no other does.
    yields_until_ms: Millis,
}

/// Identity of a candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the node.
    pub node: String,
    /// Random number of its process.
    pub incarnation: u64,
    /// Address at which it accepts links.
    pub address: String,
    /// When its process started.
    pub started_ms: Millis,
    /// Size of the node, in thousandths of a core.
    pub size_permille: u64,
}

impl Candidate {
    /// Creates a candidate that has not read the claim row yet.
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
            backs_off_until_ms: 0,
            yields_until_ms: 0,
        }
    }

    /// Returns how long this node delays its claim in favor of larger ones. A planner's work grows
    /// with the fleet, and a node of half the last holder's size falls behind.
    const fn claim_delay_ms(&self, last_permille: u64) -> Millis {
        if self.identity.size_permille * 2 < last_permille {
            CLAIM_DELAY_MS
        } else {
            0
        }
    }

    /// Discards what was read, because it is stale once the holder is known to work.
    pub fn reset(&mut self) {
        self.seen = None;
        self.readable_ms = None;
        self.unreadable = false;
    }

    /// Makes no claim for a while, because this node has just released the group.
    pub fn back_off(&mut self, now: Millis) {
        self.backs_off_until_ms = now + BACK_OFF_MS;
    }

    /// Leaves the group to other nodes for a while, because this node has handed it over to one of
    /// them. It still claims the group if no other node does.
    pub fn record_release(&mut self, now: Millis) {
        self.yields_until_ms = now + YIELD_MS;
    }

    /// Records the size reported in the holder's row; returns that of the largest recent node.
    fn largest_permille(&mut self, now: Millis, holder: &HolderRow) -> u64 {
        let seen = holder.cpu_permille.max(holder.wanted_permille);
        let known = self.largest.filter(|(permille, seen_ms)| {
            *permille > seen && now.saturating_sub(*seen_ms) < LARGEST_RETENTION_MS
        });
        let largest = known.unwrap_or((seen, now));
        self.largest = Some(largest);
        largest.0
    }

    /// Returns whether this node should replace a holder that is still recovering, because it would
    /// recover faster. It needs at least twice the holder's size, which bounds the number of
    /// successive replacements.
    fn is_preferred_over(&self, now: Millis, holder: &HolderRow) -> bool {
        let since_ms = self.term.map_or(now, |(_, since_ms)| since_ms);
        let larger = self.identity.size_permille >= 2 * holder.cpu_permille;
        holder.recovering && larger && now.saturating_sub(since_ms) >= RECOVERY_GRACE_MS
    }

    /// Records that the address of a holder has refused a connection.
    pub fn record_refused_connection(&mut self, now: Millis, holder: &HolderRow) {
        self.refused = Some(RefusedHolder {
            term: holder.term,
            incarnation: holder.incarnation,
            at_ms: now,
        });
    }

    /// Records that the row could not be read. The holder could not renew its claim during that
    /// time either, so the stall timeout counts from the next successful reading.
    pub fn record_unreadable(&mut self) {
        self.unreadable = true;
    }

    /// Processes a reading of the claim row and of the store's clock.
    ///
    /// The row states when it was written by the store's clock, so its age is known from a single
    /// reading. A premature claim is safe; it only causes an unnecessary takeover.
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
        let backs_off = now < self.backs_off_until_ms;
        let yields = now < self.yields_until_ms;
        match row {
            None => {
                let claim_delay_ms = self.claim_delay_ms(LARGE_PERMILLE);
                if backs_off || now.saturating_sub(first_ms) < claim_delay_ms {
                    return CandidateAction::Wait;
                }
                self.claim(0, version)
            }
            Some(holder) => {
                let own = self.is_own(&holder);
                let largest_permille = self.largest_permille(now, &holder);
                let claim_delay_ms = if yields {
                    YIELD_CLAIM_DELAY_MS
                } else if own {
                    0
                } else {
                    self.claim_delay_ms(largest_permille)
                };
                let refused = self
                    .refused
                    .is_some_and(|refused| refused.applies_to(&holder, now));
                let stall_ms = stall.for_holder(&holder, refused) + claim_delay_ms;
                let delay_passed = now.saturating_sub(first_ms) >= claim_delay_ms;
                let free = (own && !yields) || (holder.released && delay_passed);
                let seen_age_ms = now.saturating_sub(first_ms);
                let written_ms = holder.written_store_ms;
                let written_age_ms = if written_ms == 0 {
                    0
                } else {
                    store_ms.saturating_sub(written_ms)
                };
                let readable_for_ms = self
                    .readable_ms
                    .map_or(Millis::MAX, |at_ms| now.saturating_sub(at_ms));
                let age_ms = seen_age_ms.max(written_age_ms).min(readable_for_ms);
                let stalled = age_ms >= stall_ms && delay_passed;
                let preferred = !yields && self.is_preferred_over(now, &holder);
                if !backs_off && (free || stalled || preferred) {
                    return self.claim(holder.term, version);
                }
                if own && yields {
                    // There is no other holder to follow yet.
                    return CandidateAction::Wait;
                }
                CandidateAction::Follow {
                    holder,
                    claim_in_ms: stall_ms.saturating_sub(age_ms),
                }
            }
        }
    }

    /// Returns whether the holder is this process or an earlier one on this machine.
    fn is_own(&self, holder: &HolderRow) -> bool {
        holder.node == self.identity.node && holder.address == self.identity.address
    }

    fn claim(&self, term: u64, version: RowVersion) -> CandidateAction {
        let row = HolderRow {
            term: term + 1,
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            address: self.identity.address.clone(),
            cpu_permille: self.identity.size_permille,
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
