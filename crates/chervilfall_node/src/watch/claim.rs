//! Finds the holder, links to it, and claims the group when nobody holds it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chervilfall_planner::{
    Batch, Candidate, CandidateMove, CommitOutcome, HolderRow, Identity, RowVersion, Stall,
    Takeover,
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
use crate::watch::pages::Progress;
use crate::watch::recovery::{read_history, GroupReader};
use crate::watch::Dependency;

/// Spread of the looks at the claim row.
const LOOK_JITTER_MS: u64 = 30;
/// Commits of a holder that a slow store may take while the claim row stands still.
const SLOW_STORE_FACTOR: u64 = 3;
/// Time between renewals of a claim whose rows are being read: a third of the standstill
/// that holds meanwhile.
const RENEW_MS: u64 = 400;
/// A reading of the claim row, or a claim, that is not answered for this long is joined by another.
const ASK_AGAIN_MS: u64 = 150;
/// A claim is handed back if no page of the rows has come for this long: some times the bound of a page.
const STUCK_MS: u64 = 3_000;
/// Time between lines that say how far a reading of the rows has come.
const PROGRESS_LINE_MS: u64 = 1_000;
/// Shortest pause before a holder is dialled again that does not serve yet.
const DIAL_AGAIN_MS: u64 = 20;
/// Longest such pause.
const DIAL_AGAIN_MOST_MS: u64 = 400;

/// Somebody else has claimed the group.
struct ClaimLost;

struct Dialing {
    row: HolderRow,
    task: JoinHandle<()>,
    /// Why there is no link, or none any more.
    end: oneshot::Receiver<DialError>,
}

/// Links to one holder that have failed in a row.
#[derive(Debug, Default)]
struct LinkFailures {
    /// Term of the holder.
    term: u64,
    error: Option<DialError>,
    pause_ms: u64,
}

impl LinkFailures {
    /// Notes a failure, and says so if it is another one than the last; returns the pause before the next try.
    fn note(&mut self, holder: &HolderRow, error: &DialError) -> u64 {
        if self.term != holder.term || self.error.as_ref() != Some(error) {
            log::info!(holder = holder.node.as_str(), term = holder.term, error:% = error; "no link to the holder");
        }
        self.pause_ms = if self.term == holder.term {
            (self.pause_ms * 2).min(DIAL_AGAIN_MOST_MS)
        } else {
            DIAL_AGAIN_MS
        };
        self.term = holder.term;
        self.error = Some(error.clone());
        self.pause_ms
    }
}

/// A reading of the claim row and of the store's clock.
struct ClaimReading {
    version: RowVersion,
    store_ms: u64,
    row: Option<HolderRow>,
}

/// Rows that were read under a claim which was handed back.
pub(crate) struct KeptRows {
    term: u64,
    rows: GroupReader,
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
    pub(crate) kept: Mutex<Option<KeptRows>>,
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
        let mut failures = LinkFailures::default();
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
            if let Some(holder) = self
                .wait_for_trouble(pause, &mut dialing, &mut failures)
                .await
            {
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
        failures: &mut LinkFailures,
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
        metrics::counter!("chervilfall_links_failed_total").increment(1);
        let pause_ms = failures.note(&ended.row, &error);
        if error == DialError::Refused {
            return Some(ended.row);
        }
        // Many nodes that dial at once would keep a holder busy that is about to serve.
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
        None
    }

    /// Reads the claim row; a reading that is not answered soon is joined by another, as it may wait on a connection that has
    /// gone silent for good.
    async fn read_claim_row(&self) -> Result<(Option<Row>, u64), StoreError> {
        let store = self.platform.store();
        let first = store.read_claim(&self.group);
        let second = async {
            tokio::time::sleep(Duration::from_millis(ASK_AGAIN_MS)).await;
            store.read_claim(&self.group).await
        };
        tokio::pin!(first);
        tokio::pin!(second);
        tokio::select! {
            read = &mut first => read,
            read = &mut second => match read {
                Ok(read) => Ok(read),
                Err(_) => first.await,
            },
        }
    }

    async fn read_claim(&self) -> Result<ClaimReading, StoreError> {
        let (row, store_ms) = self.read_claim_row().await?;
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
        candidate: &mut Candidate,
        dialing: &mut Option<Dialing>,
        batch: Batch,
        row: HolderRow,
    ) {
        let claimed_ms = now_ms();
        let outcome = self.commit_claim(batch).await;
        if let Some(version) = won_version(&outcome, &row) {
            self.abandon(dialing);
            let takeover = candidate.won(row, version);
            log::info!(term = takeover.row.term, fence = takeover.fence; "group claimed");
            self.load(candidate, takeover, claimed_ms).await;
        } else {
            log::info!(outcome = outcome.word(); "claim not won");
        }
    }

    /// Sends a claim; one that is not answered soon is sent again, as it may wait on a connection that has gone silent for
    /// good. Whichever copy comes first, the other finds the claim moved.
    async fn commit_claim(&self, batch: Batch) -> CommitOutcome {
        let store = self.platform.store();
        let again = batch.clone();
        let first = store.commit(&self.group, batch);
        let second = async {
            tokio::time::sleep(Duration::from_millis(ASK_AGAIN_MS)).await;
            store.commit(&self.group, again).await
        };
        tokio::pin!(first);
        tokio::pin!(second);
        tokio::select! {
            outcome = &mut first => outcome,
            outcome = &mut second => match outcome {
                CommitOutcome::Stored { .. } | CommitOutcome::Conflict(_) => outcome,
                CommitOutcome::NotDone | CommitOutcome::Unknown => first.await,
            },
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

    /// Reads the rows of the group that was claimed, and keeps the claim alive meanwhile: a machine with a slow link can
    /// take longer than the claim may stand still. The claim is handed back if nothing comes, so that nodes which can read
    /// the rows are not kept from them.
    async fn load(&self, candidate: &mut Candidate, mut takeover: Takeover, claimed_ms: u64) {
        let began_ms = now_ms();
        let progress = Progress::new();
        let mut rows = self.kept_rows(&takeover);
        let mut confirmed_ms = claimed_ms;
        self.set_recovering(true).await;
        let read = {
            let reading = async {
                let group = rows.read(self.platform.store(), &self.group, &progress);
                let (read, ()) = tokio::join!(group, self.read_configuration());
                read
            };
            tokio::pin!(reading);
            let mut next_line_ms = began_ms + PROGRESS_LINE_MS;
            loop {
                tokio::select! {
                    read = &mut reading => break Some(read),
                    () = tokio::time::sleep(Duration::from_millis(RENEW_MS)) => {
                        if progress.still_ms() >= STUCK_MS {
                            break None;
                        }
                        let sent_ms = now_ms();
                        match self.renew(&mut takeover).await {
                            Ok(true) => confirmed_ms = sent_ms,
                            Ok(false) => {}
                            Err(ClaimLost) => {
                                log::info!(term = takeover.row.term; "claim lost while rows were read");
                                self.set_recovering(false).await;
                                return;
                            }
                        }
                        if now_ms() >= next_line_ms {
                            next_line_ms += PROGRESS_LINE_MS;
                            say_progress(&takeover, &progress, began_ms);
                        }
                    }
                }
            }
        };
        say_progress(&takeover, &progress, began_ms);
        match read {
            Some(Ok(())) => self.take_over(takeover, rows, confirmed_ms).await,
            Some(Err(error)) => {
                log::error!(term = takeover.row.term, error:% = error; "group's rows cannot be read, claim handed back");
                self.hand_back(candidate, &mut takeover).await;
            }
            None => {
                log::warn!(term = takeover.row.term, still_ms = progress.still_ms(); "group's rows do not come, claim handed back");
                self.hand_back(candidate, &mut takeover).await;
                self.keep_rows(&takeover, rows);
            }
        }
        self.set_recovering(false).await;
    }

    /// Returns what was read under an earlier claim of this process, if nobody has held the group since.
    fn kept_rows(&self, takeover: &Takeover) -> GroupReader {
        let kept = self.lock_kept().take();
        let kept = kept.filter(|kept| kept.term + 1 == takeover.row.term);
        kept.map_or_else(GroupReader::new, |kept| kept.rows)
    }

    fn keep_rows(&self, takeover: &Takeover, rows: GroupReader) {
        let term = takeover.row.term;
        *self.lock_kept() = Some(KeptRows { term, rows });
    }

    fn lock_kept(&self) -> std::sync::MutexGuard<'_, Option<KeptRows>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the control thread whether rows are being read, so that links to this node last until it serves.
    async fn set_recovering(&self, recovering: bool) {
        // The control thread ends with the process only.
        drop(
            self.control
                .send(ControlEvent::Recovering(recovering))
                .await,
        );
    }

    async fn take_over(&self, takeover: Takeover, rows: GroupReader, claimed_ms: u64) {
        let term = takeover.row.term;
        let event = ControlEvent::Claimed {
            takeover,
            stored: rows.into_stored(),
            claimed_ms,
        };
        // The control thread ends with the process only.
        drop(self.control.send(event).await);
        // The control thread says when it has taken over; until then nothing is claimed.
        let held = self
            .leadership
            .wait_until(|leadership| matches!(leadership, Leadership::Local));
        drop(tokio::time::timeout(Duration::from_secs(1), held).await);
        self.read_history(term);
    }

    /// Reads in the background what the new holder can serve without.
    fn read_history(&self, term: u64) {
        let (store, group) = (self.platform.store().clone(), self.group.clone());
        let (control, leadership) = (self.control.clone(), Arc::clone(&self.leadership));
        tokio::spawn(async move {
            let tell = |event| {
                let (control, leadership) = (control.clone(), Arc::clone(&leadership));
                async move {
                    let holds = matches!(leadership.current(), Leadership::Local);
                    let event = ControlEvent::Done { term, event };
                    holds && control.send(event).await.is_ok()
                }
            };
            if let Err(error) = read_history(&store, &group, tell).await {
                log::error!(term = term, error:% = error; "texts and ended jobs cannot be read, group handed back");
                // The control thread ends with the process only.
                drop(control.send(ControlEvent::Unreadable { term }).await);
            }
        });
    }

    async fn hand_back(&self, candidate: &mut Candidate, takeover: &mut Takeover) {
        candidate.abstain(now_ms());
        let batch = Candidate::hand_back(takeover);
        let outcome = self.platform.store().commit(&self.group, batch).await;
        // Without an answer the claim lapses by its standstill.
        log::info!(term = takeover.row.term, outcome = outcome.word(); "claim handed back");
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
}

/// Returns the version of a claim that was won; a conflict may show the claim itself, carried out by another copy.
fn won_version(outcome: &CommitOutcome, row: &HolderRow) -> Option<RowVersion> {
    match outcome {
        CommitOutcome::Stored { version, .. } => Some(*version),
        CommitOutcome::Conflict(Some((version, bytes))) => {
            let found = HolderRow::decode(bytes).ok()?;
            (found == *row).then_some(*version)
        }
        _ => None,
    }
}

/// Says how far a reading of the rows has come.
fn say_progress(takeover: &Takeover, progress: &Progress, began_ms: u64) {
    let (rows, bytes, missed) = progress.counts();
    let took_ms = now_ms().saturating_sub(began_ms);
    metrics::gauge!("chervilfall_recovery_rows").set(rows as f64);
    metrics::gauge!("chervilfall_recovery_bytes").set(bytes as f64);
    metrics::gauge!("chervilfall_recovery_seconds").set(took_ms as f64 / 1_000.0);
    log::info!(
        term = takeover.row.term, rows = rows, bytes = bytes, missed = missed, took_ms = took_ms;
        "group's rows are read"
    );
}
