//! Which queue a request is for, and which account it belongs to.

use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilfall_planner::AccountName;

use super::{Front, FrontAnswer, Revocation};
use crate::clock::{clock, now_ms};
use crate::keys::KeyDigest;
use crate::planned_stop::RequestPhase;
use crate::routes::Route;

/// Minimum time between log lines about denied requests, which callers can send in any number.
const DENIED_LOG_INTERVAL_MS: u64 = 100;

impl Front {
    /// Finds the route of a request. Its absence is reported only by a configuration that contains
    /// everything that must be in force; otherwise waits briefly for a confirmation.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if there is no route.
    pub async fn route(&self, host: &str, path: &str) -> Result<Route, FrontAnswer> {
        if let Some(route) = self.find(host, path) {
            return Ok(route);
        }
        let current = self.wait_until_current().await;
        if let Some(route) = self.find(host, path) {
            return Ok(route);
        }
        let (why, answer) = match self.routes() {
            None => ("no configuration", FrontAnswer::NoConfiguration),
            Some(_) if !current => ("unconfirmed", FrontAnswer::Unconfirmed),
            Some(_) => ("no queue", FrontAnswer::NoQueue),
        };
        self.record_denied(why, host, path);
        Err(answer)
    }

    /// Finds the account that a call's key belongs to; none if the call needs no key.
    ///
    /// A key may have been revoked right after the last reading of the configuration was sent. So a
    /// call is accepted only while that reading is no older than the time that a revoked key may
    /// still be used, by a clock that also counts suspension. An unknown key is denied like an
    /// unknown queue: only by a reading so recent that every key in force must be in it.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if the call must not run.
    pub async fn authorise(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<AccountName>, FrontAnswer> {
        let Some(revocation) = self.revocation.filter(|_| !route.public) else {
            return Ok(None);
        };
        let digest = key.map(KeyDigest::of);
        if let Some(account) = self.account(digest, revocation) {
            return Ok(Some(account));
        }
        let current = self.wait_until_current().await;
        if let Some(account) = self.account(digest, revocation) {
            return Ok(Some(account));
        }
        let (why, answer) = if current && self.configuration.is_current() {
            ("unknown key", FrontAnswer::UnknownKey)
        } else {
            ("key not confirmed", FrontAnswer::Unconfirmed)
        };
        self.record_denied(why, &route.host, &route.path_prefix);
        Err(answer)
    }

    /// Waits briefly until the configuration contains everything that must be in force; returns whether
    /// it does.
    async fn wait_until_current(&self) -> bool {
        let wait = Duration::from_millis(self.timings.configuration_wait_ms);
        let deadline = self.stop.cut(clock().deadline(wait), RequestPhase::NotSent);
        let wait = clock().left(deadline);
        self.configuration.wait_until_current(wait).await
    }

    /// Returns the account of a key, if the configuration is recent enough.
    fn account(&self, digest: Option<KeyDigest>, revocation: Revocation) -> Option<AccountName> {
        let table = self.routes()?;
        let account = table.keys.account(digest?)?.clone();
        // Read after the table: a reading that confirms a newer table does not confirm an older
        // one.
        let age_ms = self.configuration.age_ms()?;
        let newest = self.configuration.version() == Some(table.version);
        let recent = !revocation.strict || (newest && age_ms <= revocation.within_ms);
        recent.then_some(account)
    }

    fn find(&self, host: &str, path: &str) -> Option<Route> {
        self.routes()?.find(host, path).cloned()
    }

    /// Counts and logs a denied request, with the configuration that it was denied by.
    fn record_denied(&self, why: &'static str, host: &str, path: &str) {
        metrics::counter!("chervilfall_requests_denied_total", "why" => why).increment(1);
        let now_ms = now_ms();
        let line_ms = self.denied_logged_ms.load(Ordering::Relaxed);
        if now_ms < line_ms + DENIED_LOG_INTERVAL_MS {
            return;
        }
        self.denied_logged_ms.store(now_ms, Ordering::Relaxed);
        let version = self.routes().map(|routes| routes.version);
        let age_ms = self.configuration.age_ms();
        log::info!(why = why, host = host, path = path, version = version, age_ms = age_ms; "request denied");
    }
}
