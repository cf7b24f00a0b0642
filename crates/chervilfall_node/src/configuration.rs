//! The configuration in force at this node, and how long ago it was confirmed to be the newest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::{clock, now_ms};
use crate::routes::RouteTable;

/// Stands for an unknown time or version.
const UNKNOWN: u64 = u64::MAX;
/// Interval between checks whether an awaited reading was answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The configuration in force; shared by the node's tasks.
#[derive(Debug)]
pub struct ConfigurationState {
    table: RwLock<Option<Arc<RouteTable>>>,
    /// Version in force, if one is known.
    version: AtomicU64,
    /// When the last reading began that found nothing newer, in milliseconds.
    confirmed_ms: AtomicU64,
    /// When the last reading began that the store answered, whatever its result, in milliseconds.
    answered_ms: AtomicU64,
    /// Up to when such a reading covers all changes, in milliseconds.
    covered_ms: AtomicU64,
    /// Notifies the reader that a reading is requested.
    reading_requested: Notify,
    /// Time within which a configuration must be in force, in milliseconds.
    apply_ms: u64,
}

impl ConfigurationState {
    pub(crate) fn new(apply_ms: u64) -> Self {
        Self {
            table: RwLock::default(),
            version: AtomicU64::new(UNKNOWN),
            confirmed_ms: AtomicU64::new(UNKNOWN),
            answered_ms: AtomicU64::new(UNKNOWN),
            covered_ms: AtomicU64::new(UNKNOWN),
            reading_requested: Notify::new(),
            apply_ms,
        }
    }

    /// Returns the configuration in force, if one is known.
    #[must_use]
    pub fn current(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Returns the version in force, if one is known.
    pub(crate) fn version(&self) -> Option<u64> {
        let version = self.version.load(Ordering::Acquire);
        (version != UNKNOWN).then_some(version)
    }

    /// Returns how long ago the configuration was known to be the newest, if it ever was.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        age_ms(&self.confirmed_ms)
    }

    /// Returns whether a configuration is known, and the store answered a reading recently enough
    /// that a newer one that it told and that can be decoded would be in force.
    #[must_use]
    pub fn has_recent_answer(&self) -> bool {
        let answered = age_ms(&self.answered_ms).is_some_and(|age_ms| age_ms <= self.apply_ms);
        self.current().is_some() && (answered || self.is_current())
    }

    /// Returns whether the configuration was confirmed recently enough that everything that must be
    /// in force by now is.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.age_ms().is_some_and(|age_ms| age_ms <= self.apply_ms)
    }

    /// Waits until the configuration is confirmed, if the last confirmation is too old; returns
    /// whether it is current.
    pub(crate) async fn wait_until_current(&self, wait_budget: Duration) -> bool {
        self.wait_until(Self::is_current, wait_budget).await
    }

    /// Waits until the store has answered a reading that covers all changes up to `since_ms`;
    /// returns whether it has.
    pub(crate) async fn wait_for_answer_since(&self, since_ms: u64, wait_budget: Duration) -> bool {
        let covered = |state: &Self| match state.covered_ms.load(Ordering::Relaxed) {
            UNKNOWN => false,
            covered_ms => covered_ms >= since_ms,
        };
        self.wait_until(covered, wait_budget).await
    }

    /// Requests a reading and waits until `holds` is true; returns whether it is.
    async fn wait_until(&self, holds: impl Fn(&Self) -> bool, wait_budget: Duration) -> bool {
        if holds(self) {
            return true;
        }
        self.request_reading();
        let deadline = clock().deadline(wait_budget);
        while !holds(self) && !clock().left(deadline).is_zero() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        holds(self)
    }

    /// Requests a reading if another node has a newer version in force.
    pub(crate) fn note_remote_version(&self, version: Option<u64>) {
        if version > self.version() {
            self.request_reading();
        }
    }

    /// Adopts the configuration that the holder has in force, known to be the newest `age_ms`
    /// before the holder answered, which was after the request at `asked_ms`.
    pub(crate) fn apply_from_holder(
        &self,
        asked_ms: u64,
        age_ms: u64,
        table: Option<Arc<RouteTable>>,
    ) {
        let at_ms = asked_ms.saturating_sub(age_ms);
        match table {
            Some(table) => self.put_in_force(table, at_ms),
            None => self.confirm(at_ms),
        }
    }

    /// Requests a reading now.
    pub(crate) fn request_reading(&self) {
        self.reading_requested.notify_one();
    }

    /// Waits until a reading is requested.
    pub(crate) async fn reading_requested(&self) {
        self.reading_requested.notified().await;
    }

    /// Records that the configuration in force was the newest at `at_ms`.
    pub(crate) fn confirm(&self, at_ms: u64) {
        advance(&self.confirmed_ms, at_ms);
    }

    /// Records that the store has answered a reading that began at `began_ms` and covers all changes
    /// up to `covered_ms`.
    pub(crate) fn record_answer(&self, began_ms: u64, covered_ms: u64) {
        advance(&self.answered_ms, began_ms);
        advance(&self.covered_ms, covered_ms);
    }

    /// Puts a configuration in force that was the store's newest at `at_ms`, unless it or a newer
    /// one already is.
    pub(crate) fn put_in_force(&self, table: Arc<RouteTable>, at_ms: u64) {
        let unconfirmed_ms = self.age_ms();
        let (version, routes) = (table.version, table.routes.len());
        let replaced = self.replace(table);
        self.confirm(at_ms);
        if !replaced {
            return;
        }
        metrics::gauge!("chervilfall_configuration_version", "at" => "front").set(version as f64);
        if let Some(unconfirmed_ms) = unconfirmed_ms {
            // It was acknowledged after the last confirmation, so this is an upper bound of its
            // delay.
            metrics::histogram!("chervilfall_configuration_in_force_seconds")
                .record(unconfirmed_ms as f64 / 1_000.0);
        }
        log::info!(
            version = version, routes = routes, late_at_most_ms = unconfirmed_ms;
            "configuration in force"
        );
    }

    /// Replaces the configuration in force if this one is newer; returns whether it is.
    fn replace(&self, table: Arc<RouteTable>) -> bool {
        let version = table.version;
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(in_force) = current.as_ref().map(|current| current.version) {
            if in_force > version {
                log::warn!(version = version, in_force = in_force; "older configuration ignored");
            }
            if in_force >= version {
                return false;
            }
        }
        *current = Some(table);
        self.version.store(version, Ordering::Release);
        true
    }
}

/// Returns the time since `at_ms`, if it is known.
fn age_ms(at_ms: &AtomicU64) -> Option<u64> {
    let at_ms = at_ms.load(Ordering::Relaxed);
    (at_ms != UNKNOWN).then(|| now_ms().saturating_sub(at_ms))
}

/// Sets a time, unless a later one is set.
fn advance(time_ms: &AtomicU64, at_ms: u64) {
    let later = |known_ms: u64| (known_ms == UNKNOWN || known_ms < at_ms).then_some(at_ms);
    // It fails if a later time is set, as intended.
    let _ = time_ms.fetch_update(Ordering::Relaxed, Ordering::Relaxed, later);
}
