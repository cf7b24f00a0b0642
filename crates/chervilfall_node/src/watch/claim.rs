//! Finds the holder, links to it, and claims the group when nobody holds it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::{
    Batch, Candidate, CandidateAction, CommitOutcome, HolderRow, Identity, RowVersion,
    StallTimeouts,
};
use rand::Rng;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::clock::now_ms;
use crate::control::ControlEvent;
use crate::front::Front;
use crate::leadership::{Leadership, LeadershipState};
use crate::link::{dial, DialError};
use crate::ports::{Platform, Row, Store, StoreError};
use crate::runtime_thread::Spawner;
use crate::settings::Settings;
use crate::watch::takeover::RetainedRows;
use crate::watch::DependencyStatus;

/// Maximum random delay between checks of the claim row.
const POLL_JITTER_MS: u64 = 30;
/// Stall timeout with a slow store, in multiples of the duration of the last reading: enough for
/// that many commits of the holder.
const SLOW_STORE_FACTOR: u64 = 3;
/// A reading of the claim row, or a claim, that is not answered for this long is sent again.
const HEDGE_DELAY_MS: u64 = 150;
/// Shortest pause before dialing again a holder that does not serve yet.
const MIN_REDIAL_PAUSE_MS: u64 = 20;
/// Longest such pause.
const MAX_REDIAL_PAUSE_MS: u64 = 400;

struct HolderConnection {
    row: HolderRow,
    task: JoinHandle<()>,
    /// Receives the reason when dialing fails or the link ends.
    end: oneshot::Receiver<DialError>,
}

/// Consecutive failures of links to one holder.
#[derive(Debug, Default)]
struct LinkFailures {
    /// Term of the holder.
    term: u64,
    error: Option<DialError>,
    pause_ms: u64,
}

impl LinkFailures {
    /// Records a failure, and logs it if it differs from the last one; returns the pause before the
    /// next attempt.
    fn note(&mut self, holder: &HolderRow, error: &DialError) -> u64 {
        if self.term != holder.term || self.error.as_ref() != Some(error) {
            log::info!(holder = holder.node.as_str(), term = holder.term, error:% = error; "no link to the holder");
        }
        self.pause_ms = if self.term == holder.term {
            (self.pause_ms * 2).min(MAX_REDIAL_PAUSE_MS)
        } else {
            MIN_REDIAL_PAUSE_MS
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

/// Watches the claim row.
pub(crate) struct ClaimWatch<P> {
    pub(crate) platform: P,
    pub(crate) group: String,
    pub(crate) settings: Arc<Settings>,
    pub(crate) incarnation: u64,
    pub(crate) front: Arc<Front>,
    pub(crate) leadership: Arc<LeadershipState>,
    pub(crate) control: mpsc::Sender<ControlEvent>,
    /// Sends commits.
    pub(crate) commits: Spawner,
    /// Serves links.
    pub(crate) links: Spawner,
    /// Rows that were read under a claim which was handed back.
    pub(crate) retained: Option<RetainedRows>,
}

impl<P: Platform> ClaimWatch<P> {
    /// Follows holders and claims the group if there is none; after a planned stop has begun, only
    /// follows.
    pub(crate) async fn run(mut self) {
        let mut candidate = Candidate::new(Identity {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            address: self.settings.link_listen.to_string(),
            // Steady time counts from the start of the process.
            started_ms: 0,
            size_permille: self.settings.size_permille(),
        });
        let mut dependency = DependencyStatus::new("claim row");
        let mut connection: Option<HolderConnection> = None;
        let mut failures = LinkFailures::default();
        let poll_ms = self.settings.timings.claim_poll_ms;
        loop {
            let pause_ms = if self.has_working_holder() {
                self.front.set_isolated(false);
                candidate.reset();
                poll_ms
            } else {
                self.check_claim(&mut candidate, &mut connection, &mut dependency)
                    .await
            };
            // Candidates that check at the same moment would all send a claim, and only one can
            // win.
            let jitter_ms = rand::rng().random_range(0..=POLL_JITTER_MS);
            let pause = Duration::from_millis(pause_ms + jitter_ms);
            if let Some(holder) = self
                .wait_for_next_check(pause, &mut connection, &mut failures)
                .await
            {
                candidate.record_refused_connection(now_ms(), &holder);
            }
        }
    }

    /// Reads the claim row and acts on it; returns the time until the next check, in milliseconds.
    async fn check_claim(
        &mut self,
        candidate: &mut Candidate,
        connection: &mut Option<HolderConnection>,
        dependency: &mut DependencyStatus,
    ) -> u64 {
        let pause_ms = self.settings.timings.claim_poll_ms / 2;
        let began_ms = now_ms();
        let read = self.read_claim().await;
        let took_ms = now_ms().saturating_sub(began_ms);
        dependency.note(&read);
        let no_holder = matches!(self.leadership.current(), Leadership::NoHolder);
        self.front.set_isolated(no_holder && read.is_err());
        if self.leadership.take_release() {
            candidate.record_release(now_ms());
        }
        let Ok(reading) = read else {
            candidate.record_unreadable();
            return pause_ms;
        };
        let check_in_ms = self
            .act_on_reading(candidate, connection, reading, took_ms)
            .await;
        check_in_ms.min(pause_ms)
    }

    fn has_working_holder(&self) -> bool {
        match self.leadership.current() {
            Leadership::NoHolder => false,
            Leadership::Local => true,
            Leadership::Remote(_) => self.front.claim_age_ms() < self.settings.timings.stale_ms,
        }
    }

    /// Waits for `pause`, or until the holder is lost or a link ends; returns the holder if its
    /// address refused the connection.
    async fn wait_for_next_check(
        &self,
        pause: Duration,
        connection: &mut Option<HolderConnection>,
        failures: &mut LinkFailures,
    ) -> Option<HolderRow> {
        let mut changes = self.leadership.subscribe();
        let followed = !matches!(*changes.borrow_and_update(), Leadership::NoHolder);
        let link_end = async {
            match connection {
                Some(connection) => (&mut connection.end).await.ok(),
                None => std::future::pending().await,
            }
        };
        let end = tokio::select! {
            end = link_end => end,
            _ = changes.changed(), if followed => return None,
            () = tokio::time::sleep(pause) => return None,
        };
        let ended = connection.take()?;
        let error = end?;
        metrics::counter!("chervilfall_links_failed_total").increment(1);
        let pause_ms = failures.note(&ended.row, &error);
        if error == DialError::Refused {
            return Some(ended.row);
        }
        // Many nodes that dial at the same time would burden a holder that is about to serve.
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
        None
    }

    /// Reads the claim row. A reading that is not answered soon is sent again in parallel, as it
    /// may wait on a connection that has gone silent permanently.
    async fn read_claim_row(&self) -> Result<(Option<Row>, u64), StoreError> {
        let store = self.platform.store();
        let first = store.read_claim(&self.group);
        let second = async {
            tokio::time::sleep(Duration::from_millis(HEDGE_DELAY_MS)).await;
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

    /// Acts on a reading; returns the time until the next check, in milliseconds.
    async fn act_on_reading(
        &mut self,
        candidate: &mut Candidate,
        connection: &mut Option<HolderConnection>,
        reading: ClaimReading,
        took_ms: u64,
    ) -> u64 {
        let poll_ms = self.settings.timings.claim_poll_ms;
        let stall = StallTimeouts {
            unreported_ms: self.settings.timings.stall_ms,
            refused_ms: self.settings.timings.refused_stall_ms,
            slow_ms: SLOW_STORE_FACTOR * took_ms,
        };
        match candidate.observe(
            now_ms(),
            reading.store_ms,
            reading.version,
            reading.row,
            &stall,
        ) {
            CandidateAction::Follow {
                holder,
                claim_in_ms,
            } => {
                self.follow(connection, holder).await;
                claim_in_ms
            }
            CandidateAction::Wait => poll_ms,
            CandidateAction::Claim(batch, row) => {
                if !self.front.stopping() {
                    self.claim(candidate, connection, batch, row).await;
                }
                poll_ms
            }
        }
    }

    async fn claim(
        &mut self,
        candidate: &mut Candidate,
        connection: &mut Option<HolderConnection>,
        batch: Batch,
        row: HolderRow,
    ) {
        let claimed_ms = now_ms();
        let outcome = self.commit_claim(batch).await;
        if let Some(version) = claimed_version(&outcome, &row) {
            self.drop_connection(connection).await;
            let takeover = candidate.won(row, version);
            log::info!(term = takeover.row.term, fence = takeover.fence; "group claimed");
            self.load_rows(candidate, takeover, claimed_ms).await;
        } else {
            log::info!(outcome = outcome.label(); "claim not won");
        }
    }

    /// Sends a claim. A claim that is not answered soon is sent again in parallel, as it may wait
    /// on a connection that has gone silent permanently. Whichever copy arrives first, the other
    /// finds that the claim row has changed.
    async fn commit_claim(&self, batch: Batch) -> CommitOutcome {
        let again = batch.clone();
        let first = self.commit(batch);
        let second = async {
            tokio::time::sleep(Duration::from_millis(HEDGE_DELAY_MS)).await;
            self.commit(again).await
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

    /// Sends a commit on the thread for commits.
    pub(super) async fn commit(&self, batch: Batch) -> CommitOutcome {
        let (store, group) = (self.platform.store().clone(), self.group.clone());
        let commit = async move { store.commit(&group, batch).await };
        self.commits.run(commit).await
    }

    async fn follow(&self, connection: &mut Option<HolderConnection>, holder: HolderRow) {
        let same = connection.as_ref().is_some_and(|connection| {
            connection.row.incarnation == holder.incarnation && connection.row.term == holder.term
        });
        if same {
            return;
        }
        self.drop_connection(connection).await;
        let Ok(address) = holder.address.parse::<SocketAddr>() else {
            log::warn!(holder = holder.node.as_str(), address = holder.address.as_str(); "holder's address cannot be read");
            return;
        };
        let (settings, front) = (Arc::clone(&self.settings), Arc::clone(&self.front));
        let (leadership, platform) = (Arc::clone(&self.leadership), self.platform.clone());
        let (ended, end) = oneshot::channel();
        let traffic = Handle::current();
        let task = self.links.spawn(async move {
            let error = dial(address, &settings, &front, &leadership, &platform, &traffic).await;
            // The claim watch runs until the process ends.
            drop(ended.send(error));
        });
        *connection = Some(HolderConnection {
            row: holder,
            task,
            end,
        });
    }

    /// Ends the link, if there is one. Its task runs on another thread, so it could still announce the old
    /// holder if this did not wait for its end.
    async fn drop_connection(&self, connection: &mut Option<HolderConnection>) {
        if let Some(old) = connection.take() {
            old.task.abort();
            if let Err(error) = old.task.await {
                if !error.is_cancelled() {
                    log::error!(error:% = error; "task of a link failed");
                }
            }
            if matches!(self.leadership.current(), Leadership::Remote(_)) {
                self.leadership.set(Leadership::NoHolder);
            }
        }
    }
}

/// Returns the version of the claim row if the claim was won; a conflict may show the claim itself,
/// stored by another copy.
fn claimed_version(outcome: &CommitOutcome, row: &HolderRow) -> Option<RowVersion> {
    match outcome {
        CommitOutcome::Stored { version, .. } => Some(*version),
        CommitOutcome::Conflict(Some((version, bytes))) => {
            let found = HolderRow::decode(bytes).ok()?;
            (found == *row).then_some(*version)
        }
        _ => None,
    }
}
