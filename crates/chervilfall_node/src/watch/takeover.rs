//! Takes over a claimed group: reads its rows, renews the claim meanwhile, or hands it back.

use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::{Candidate, RenewalOutcome, Takeover};

use crate::clock::now_ms;
use crate::control::ControlEvent;
use crate::leadership::Leadership;
use crate::ports::{ConfigurationQuery, FoundConfiguration, Platform, ReadProgress, Store};
use crate::watch::claim::ClaimWatch;
use crate::watch::pages::Progress;
use crate::watch::recovery::{read_history, GroupReader};

/// Interval between renewals of the claim while rows are read: a third of the stall timeout that
/// applies meanwhile.
const RENEW_MS: u64 = 400;
/// The claim is handed back if no page of the rows has arrived for this long: several times the
/// time limit of a page.
const NO_PROGRESS_LIMIT_MS: u64 = 3_000;
/// Interval between log lines on the progress of reading the rows.
const PROGRESS_LOG_INTERVAL_MS: u64 = 1_000;
/// Rows that were read under a claim which was handed back.
pub(crate) struct RetainedRows {
    term: u64,
    rows: GroupReader,
}

impl<P: Platform> ClaimWatch<P> {
    /// Reads the rows of the claimed group and renews the claim meanwhile: a machine with a slow
    /// link can take longer than the stall timeout of the claim. The claim is handed back if
    /// nothing arrives, so that nodes that can read the rows are not kept from taking over.
    pub(super) async fn load_rows(
        &mut self,
        candidate: &mut Candidate,
        mut takeover: Takeover,
        claimed_ms: u64,
    ) {
        let began_ms = now_ms();
        let progress = Progress::new();
        let mut rows = self.retained_rows(&takeover);
        let mut confirmed_ms = claimed_ms;
        self.set_recovering(true).await;
        let read = {
            let reading = async {
                let group = rows.read(self.platform.store(), &self.group, &progress);
                let (read, ()) = tokio::join!(group, self.read_configuration());
                read
            };
            tokio::pin!(reading);
            let mut next_line_ms = began_ms + PROGRESS_LOG_INTERVAL_MS;
            loop {
                tokio::select! {
                    read = &mut reading => break Some(read),
                    () = tokio::time::sleep(Duration::from_millis(RENEW_MS)) => {
                        if progress.since_last_page_ms() >= NO_PROGRESS_LIMIT_MS || self.front.stopping() {
                            break None;
                        }
                        let sent_ms = now_ms();
                        match self.renew(&mut takeover).await {
                            RenewalOutcome::Confirmed => confirmed_ms = sent_ms,
                            RenewalOutcome::Unconfirmed => {}
                            RenewalOutcome::ClaimLost => {
                                log::info!(term = takeover.row.term; "claim lost while rows were read");
                                self.set_recovering(false).await;
                                return;
                            }
                        }
                        if now_ms() >= next_line_ms {
                            next_line_ms += PROGRESS_LOG_INTERVAL_MS;
                            report_progress(&takeover, &progress, began_ms);
                        }
                    }
                }
            }
        };
        report_progress(&takeover, &progress, began_ms);
        match read {
            Some(Ok(())) => self.take_over(takeover, rows, confirmed_ms).await,
            Some(Err(error)) => {
                log::error!(term = takeover.row.term, error:% = error; "group's rows cannot be read, claim handed back");
                self.hand_back(candidate, &mut takeover).await;
            }
            None => {
                log::warn!(
                    term = takeover.row.term, still_ms = progress.since_last_page_ms(),
                    stopping = self.front.stopping();
                    "group's rows are not read any further, claim handed back"
                );
                self.hand_back(candidate, &mut takeover).await;
                let term = takeover.row.term;
                self.retained = Some(RetainedRows { term, rows });
            }
        }
        self.set_recovering(false).await;
    }

    /// Returns the rows read under an earlier claim of this process, if no other node has held the
    /// group since.
    fn retained_rows(&mut self, takeover: &Takeover) -> GroupReader {
        let retained = self.retained.take();
        let retained = retained.filter(|retained| retained.term + 1 == takeover.row.term);
        retained.map_or_else(GroupReader::new, |retained| retained.rows)
    }

    /// Notifies the control thread whether rows are being read, so that links to this node stay
    /// open until it serves.
    async fn set_recovering(&self, recovering: bool) {
        // The control thread runs until the process ends, so the send does not fail.
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
        // The control thread runs until the process ends, so the send does not fail.
        drop(self.control.send(event).await);
        // The control thread sets the leadership once it has taken over; until then nothing is
        // claimed.
        let held = self
            .leadership
            .wait_until(|leadership| matches!(leadership, Leadership::Local));
        drop(tokio::time::timeout(Duration::from_secs(1), held).await);
        self.read_history(term);
    }

    /// Reads in the background the rows that the new holder can serve without.
    fn read_history(&self, term: u64) {
        let (store, group) = (self.platform.store().clone(), self.group.clone());
        let (control, leadership) = (self.control.clone(), Arc::clone(&self.leadership));
        tokio::spawn(async move {
            let send = |event| {
                let (control, leadership) = (control.clone(), Arc::clone(&leadership));
                async move {
                    let holds = matches!(leadership.current(), Leadership::Local);
                    let event = ControlEvent::ActionCompleted { term, event };
                    holds && control.send(event).await.is_ok()
                }
            };
            read_history(&store, &group, send).await;
        });
    }

    async fn hand_back(&self, candidate: &mut Candidate, takeover: &mut Takeover) {
        candidate.back_off(now_ms());
        let outcome = self.commit(takeover.release()).await;
        // Without an answer the claim lapses by its stall timeout.
        log::info!(term = takeover.row.term, outcome = outcome.label(); "claim handed back");
    }

    async fn renew(&self, takeover: &mut Takeover) -> RenewalOutcome {
        let outcome = self.commit(takeover.renewal()).await;
        takeover.record_renewal(&outcome)
    }

    /// Reads the configuration after the claim was won: it is then at least as new as any that an
    /// earlier holder used, so that no job goes back to an older configuration.
    async fn read_configuration(&self) {
        let configuration = self.front.configuration();
        let since_ms = now_ms();
        let wait_budget = Duration::from_millis(self.settings.configuration_within_ms() / 2);
        let own = async {
            let query = ConfigurationQuery::Row { known: None };
            let store = self.platform.store();
            let read = store.read_configuration(query, ReadProgress::default());
            match read.await.map(|reading| reading.found) {
                Ok(FoundConfiguration::Changed { table, .. }) => {
                    configuration.put_in_force(Arc::new(table), since_ms);
                }
                // The configuration watch logs the error and retries.
                Ok(_) | Err(_) => std::future::pending().await,
            }
        };
        let read = tokio::select! {
            () = own => true,
            read = configuration.wait_for_answer_since(since_ms, wait_budget) => read,
        };
        if !read {
            log::warn!(
                version = configuration.version(), age_ms = configuration.age_ms();
                "configuration not read, group taken over with the one in force"
            );
        }
    }
}

/// Reports the progress of reading the rows.
fn report_progress(takeover: &Takeover, progress: &Progress, began_ms: u64) {
    let counts = progress.counts();
    let took_ms = now_ms().saturating_sub(began_ms);
    metrics::gauge!("chervilfall_recovery_rows").set(counts.rows as f64);
    metrics::gauge!("chervilfall_recovery_bytes").set(counts.bytes as f64);
    metrics::gauge!("chervilfall_recovery_seconds").set(took_ms as f64 / 1_000.0);
    log::info!(
        term = takeover.row.term, rows = counts.rows, bytes = counts.bytes, missed = counts.failed_pages, took_ms = took_ms;
        "progress of reading the group's rows"
    );
}
