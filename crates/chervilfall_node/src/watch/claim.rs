//! Finds the holder, links to it, and claims the group when nobody holds it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::{
    Batch, Candidate, CandidateMove, CommitOutcome, HolderRow, Identity, JobId, JobRow,
    ProgressRow, RosterEntry, RowVersion, Stall, StartsRow, Stored, Takeover, CLAIMS, HOLDER, JOBS,
    PROGRESS, ROSTER, STARTS,
};
use rand::Rng;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::clock::now_ms;
use crate::control::ControlEvent;
use crate::front::Front;
use crate::leadership::{Leadership, LeadershipState};
use crate::link::{dial, DialError};
use crate::ports::{ConfigurationReading, Platform, Row, Store, StoreError};
use crate::settings::Settings;
use crate::watch::Dependency;

/// Spread of the looks at the claim row.
const LOOK_JITTER_MS: u64 = 30;
/// Commits of a holder that a slow store may take while the claim row stands still.
const SLOW_STORE_FACTOR: u64 = 3;
/// Time between renewals of a claim whose rows are being read: a third of the standstill
/// that holds meanwhile.
const RENEW_MS: u64 = 400;
/// Attempts to read the group's rows after a claim.
const LOAD_TRIES: u32 = 8;
/// Pause between these, with the time for the store to come back.
const LOAD_PAUSE_MS: u64 = 100;

/// Somebody else has claimed the group.
struct ClaimLost;

struct Dialing {
    row: HolderRow,
    task: JoinHandle<()>,
    /// Why there is no link, or none any more.
    end: oneshot::Receiver<DialError>,
}

/// A reading of the claim row and of the store's clock.
struct ClaimReading {
    version: RowVersion,
    store_ms: u64,
    row: Option<HolderRow>,
}

/// Watches the claim row.
pub(crate) struct ClaimWatch<P> {
    pub(crate) platform: P,
    pub(crate) group: String,
    pub(crate) settings: Arc<Settings>,
    pub(crate) incarnation: u64,
    pub(crate) front: Arc<Front>,
    pub(crate) leadership: Arc<LeadershipState>,
    pub(crate) control: mpsc::Sender<ControlEvent>,
}

impl<P: Platform> ClaimWatch<P> {
    /// Runs until a planned stop begins, and goes on to follow the next holder then.
    pub(crate) async fn run(self) {
        let mut candidate = Candidate::new(Identity {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            address: self.settings.link_listen.to_string(),
            // Steady time counts from the start of the process.
            started_ms: 0,
            cpu_permille: self.settings.cpu_permille(),
        });
        let mut dependency = Dependency::new("claim row");
        let mut dialing: Option<Dialing> = None;
        let poll_ms = self.settings.timings.claim_poll_ms;
        loop {
            let pause_ms = if self.holder_works() {
                self.front.set_isolated(false);
                candidate.reset();
                poll_ms
            } else {
                self.look(&mut candidate, &mut dialing, &mut dependency)
                    .await
            };
            // Candidates that look at the same moment would all claim; one wins, the others did it in vain.
            let jitter_ms = rand::rng().random_range(0..=LOOK_JITTER_MS);
            let pause = Duration::from_millis(pause_ms + jitter_ms);
            if let Some(holder) = self.wait_for_trouble(pause, &mut dialing).await {
                candidate.refused_by(now_ms(), &holder);
            }
        }
    }

    /// Reads the claim row and acts on it; returns when to look again.
    async fn look(
        &self,
        candidate: &mut Candidate,
        dialing: &mut Option<Dialing>,
        dependency: &mut Dependency,
    ) -> u64 {
        let pause_ms = self.settings.timings.claim_poll_ms / 2;
        let began_ms = now_ms();
        let read = self.read_claim().await;
        let took_ms = now_ms().saturating_sub(began_ms);
        dependency.note(&read);
        let nobody = matches!(self.leadership.current(), Leadership::Nobody);
        self.front.set_isolated(nobody && read.is_err());
        let Ok(reading) = read else {
            candidate.unreadable();
            return pause_ms;
        };
        let look_in_ms = self.consider(candidate, dialing, reading, took_ms).await;
        look_in_ms.min(pause_ms)
    }

    fn holder_works(&self) -> bool {
        match self.leadership.current() {
            Leadership::Nobody => false,
            Leadership::Local => true,
            Leadership::Remote(_) => self.front.claim_age_ms() < self.settings.timings.stale_ms,
        }
    }

    /// Waits, but not if the holder is lost meanwhile or a link ends; returns the holder if its address refused
    /// the connection.
    async fn wait_for_trouble(
        &self,
        pause: Duration,
        dialing: &mut Option<Dialing>,
    ) -> Option<HolderRow> {
        let mut changes = self.leadership.subscribe();
        let followed = !matches!(*changes.borrow_and_update(), Leadership::Nobody);
        let link_end = async {
            match dialing {
                Some(dialing) => (&mut dialing.end).await.ok(),
                None => std::future::pending().await,
            }
        };
        let end = tokio::select! {
            end = link_end => end,
            _ = changes.changed(), if followed => return None,
            () = tokio::time::sleep(pause) => return None,
        };
        let ended = dialing.take()?;
        let error = end?;
        log::info!(holder = ended.row.node.as_str(), term = ended.row.term, error:% = error; "no link to the holder");
        (error == DialError::Refused).then_some(ended.row)
    }

    async fn read_claim(&self) -> Result<ClaimReading, StoreError> {
        let (row, store_ms) = self
            .platform
            .store()
            .read_row(&self.group, CLAIMS, HOLDER)
            .await?;
        let Some(row) = row else {
            return Ok(ClaimReading {
                version: 0,
                store_ms,
                row: None,
            });
        };
        let holder = HolderRow::decode(&row.value)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        Ok(ClaimReading {
            version: row.version,
            store_ms,
            row: Some(holder),
        })
    }

    /// Acts on a reading; returns when to look again.
    async fn consider(
        &self,
        candidate: &mut Candidate,
        dialing: &mut Option<Dialing>,
        reading: ClaimReading,
        took_ms: u64,
    ) -> u64 {
        let timings = &self.settings.timings;
        let stall = Stall {
            unsaid_ms: timings.stall_ms,
            refused_ms: timings.refused_stall_ms,
            slow_ms: SLOW_STORE_FACTOR * took_ms,
        };
        match candidate.observe(
            now_ms(),
            reading.store_ms,
            reading.version,
            reading.row,
            &stall,
        ) {
            CandidateMove::Follow {
                holder,
                claim_in_ms,
            } => {
                self.follow(dialing, holder);
                claim_in_ms
            }
            CandidateMove::Wait => timings.claim_poll_ms,
            CandidateMove::Claim(batch, row) => {
                if !self.front.stopping() {
                    self.claim(candidate, dialing, batch, row).await;
                }
                timings.claim_poll_ms
            }
        }
    }

    async fn claim(
        &self,
        candidate: &Candidate,
        dialing: &mut Option<Dialing>,
        batch: Batch,
        row: HolderRow,
    ) {
        let claimed_ms = now_ms();
        let outcome = self.platform.store().commit(&self.group, batch).await;
        if let CommitOutcome::Stored { version, .. } = outcome {
            self.abandon(dialing);
            let takeover = candidate.won(row, version);
            log::info!(term = takeover.row.term, fence = takeover.fence; "group claimed");
            self.load(takeover, claimed_ms).await;
        } else {
            log::info!(outcome = outcome.word(); "claim not won");
        }
    }

    fn follow(&self, dialing: &mut Option<Dialing>, holder: HolderRow) {
        let same = dialing.as_ref().is_some_and(|dialing| {
            dialing.row.incarnation == holder.incarnation && dialing.row.term == holder.term
        });
        if same {
            return;
        }
        self.abandon(dialing);
        let Ok(address) = holder.address.parse::<SocketAddr>() else {
            log::warn!(holder = holder.node.as_str(), address = holder.address.as_str(); "holder's address cannot be read");
            return;
        };
        let (settings, front) = (Arc::clone(&self.settings), Arc::clone(&self.front));
        let (leadership, advisor) = (
            Arc::clone(&self.leadership),
            self.platform.advisor().clone(),
        );
        let (ended, end) = oneshot::channel();
        let task = tokio::spawn(async move {
            let error = dial(address, &settings, &front, &leadership, &advisor).await;
            // The watch lives as long as the process.
            drop(ended.send(error));
        });
        *dialing = Some(Dialing {
            row: holder,
            task,
            end,
        });
    }

    fn abandon(&self, dialing: &mut Option<Dialing>) {
        if let Some(old) = dialing.take() {
            old.task.abort();
            if matches!(self.leadership.current(), Leadership::Remote(_)) {
                self.leadership.set(Leadership::Nobody);
            }
        }
    }

    /// Reads the rows of the group that was claimed, and keeps the claim alive meanwhile: a machine
    /// with a slow link can take longer than the claim may stand still.
    async fn load(&self, mut takeover: Takeover, claimed_ms: u64) {
        let reading = async {
            let rows = self.read_group_patiently();
            let (stored, ()) = tokio::join!(rows, self.read_configuration());
            stored
        };
        tokio::pin!(reading);
        let renew = Duration::from_millis(RENEW_MS);
        let mut confirmed_ms = claimed_ms;
        let stored = loop {
            tokio::select! {
                stored = &mut reading => break stored,
                () = tokio::time::sleep(renew) => {
                    let sent_ms = now_ms();
                    match self.renew(&mut takeover).await {
                        Ok(true) => confirmed_ms = sent_ms,
                        Ok(false) => {}
                        Err(ClaimLost) => {
                            log::info!(term = takeover.row.term; "claim lost while rows were read");
                            return;
                        }
                    }
                }
            }
        };
        let Some(stored) = stored else {
            return;
        };
        let event = ControlEvent::Claimed {
            takeover,
            stored,
            claimed_ms: confirmed_ms,
        };
        // The control thread ends with the process only.
        drop(self.control.send(event).await);
        // The control thread says when it has taken over; until then nothing is claimed.
        let held = self
            .leadership
            .wait_until(|leadership| matches!(leadership, Leadership::Local));
        drop(tokio::time::timeout(Duration::from_secs(1), held).await);
    }

    /// Renews a claim; returns whether that is confirmed.
    async fn renew(&self, takeover: &mut Takeover) -> Result<bool, ClaimLost> {
        let batch = Candidate::renewal(takeover);
        let number = batch.number;
        let outcome = self.platform.store().commit(&self.group, batch).await;
        let version = match outcome {
            CommitOutcome::Stored { version, .. } => version,
            CommitOutcome::Conflict(Some((version, bytes))) => {
                // An earlier copy of this renewal may have been carried out.
                let row = HolderRow::decode(&bytes).map_err(|_| ClaimLost)?;
                let own = row.incarnation == self.incarnation && row.term == takeover.row.term;
                if !own || row.number != number {
                    return Err(ClaimLost);
                }
                version
            }
            CommitOutcome::Conflict(None) => return Err(ClaimLost),
            CommitOutcome::NotDone | CommitOutcome::Unknown => return Ok(false),
        };
        takeover.version = version;
        takeover.row.number = number;
        Ok(true)
    }

    /// Reads the configuration after the claim was won: it is at least as new then as any that an earlier holder went by,
    /// so that no job goes back to older terms.
    async fn read_configuration(&self) {
        let configuration = self.front.configuration();
        let since_ms = now_ms();
        let patience = Duration::from_millis(self.settings.config_apply_ms / 2);
        let own = async {
            let read = self.platform.store().read_configuration(None).await;
            match read {
                Ok(ConfigurationReading::Changed { table, .. }) => {
                    configuration.put(Arc::new(table), since_ms);
                }
                // The reader says why, and tries again.
                Ok(_) | Err(_) => std::future::pending().await,
            }
        };
        let read = tokio::select! {
            () = own => true,
            read = configuration.until_heard_since(since_ms, patience) => read,
        };
        if !read {
            log::warn!(
                version = configuration.version(), age_ms = configuration.age_ms();
                "configuration not read, group taken over by the one in force"
            );
        }
    }

    async fn read_group_patiently(&self) -> Option<Stored> {
        for _ in 0..LOAD_TRIES {
            match self.read_group().await {
                Ok(stored) => return Some(stored),
                Err(error) => log::warn!(error:% = error; "can't read the group's rows"),
            }
            tokio::time::sleep(Duration::from_millis(LOAD_PAUSE_MS)).await;
        }
        None
    }

    async fn read_group(&self) -> Result<Stored, StoreError> {
        let store = self.platform.store();
        let jobs = store.read_table(&self.group, JOBS);
        let progress = store.read_table(&self.group, PROGRESS);
        let roster = store.read_table(&self.group, ROSTER);
        let starts = store.read_table(&self.group, STARTS);
        let (jobs, progress, roster, starts) = tokio::try_join!(jobs, progress, roster, starts)?;
        Ok(Stored {
            jobs: decode_rows(jobs, JobRow::decode)?,
            progress: decode_rows(progress, ProgressRow::decode)?,
            roster: decode_roster(roster)?,
            starts: decode_starts(starts)?,
        })
    }
}

/// Decodes the rows of the roster; to take one that cannot be read for absent would forget leases.
fn decode_roster(rows: Vec<Row>) -> Result<Vec<RosterEntry>, StoreError> {
    let mut roster = Vec::new();
    for row in rows {
        let entries = RosterEntry::decode_all(&row.value)
            .map_err(|error| StoreError::Malformed(format!("row {}: {error}", row.key)))?;
        roster.extend(entries);
    }
    Ok(roster)
}

/// Decodes the rows of the latest starts.
fn decode_starts(rows: Vec<Row>) -> Result<Vec<(u64, StartsRow)>, StoreError> {
    let decoded = rows.into_iter().map(|row| {
        let malformed = |error: String| StoreError::Malformed(format!("row {}: {error}", row.key));
        let slot = row.key.parse();
        let slot = slot.map_err(|error: std::num::ParseIntError| malformed(error.to_string()))?;
        let value = StartsRow::decode(&row.value).map_err(|error| malformed(error.to_string()))?;
        Ok((slot, value))
    });
    decoded.collect()
}

/// Decodes rows named by job; a row that cannot be read stops the takeover, because to take it for
/// absent would forget an accepted job.
fn decode_rows<T, E: std::fmt::Display>(
    rows: Vec<Row>,
    decode: impl Fn(&[u8]) -> Result<T, E>,
) -> Result<Vec<(JobId, T)>, StoreError> {
    let decoded = rows.into_iter().map(|row| {
        let malformed = |error: String| StoreError::Malformed(format!("row {}: {error}", row.key));
        let id: JobId = row
            .key
            .parse()
            .map_err(|error: chervilfall_planner::InvalidJobId| malformed(error.to_string()))?;
        let value = decode(&row.value).map_err(|error| malformed(error.to_string()))?;
        Ok((id, value))
    });
    decoded.collect()
}
