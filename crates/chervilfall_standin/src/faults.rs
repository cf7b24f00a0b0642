//! Faults of the platform's services.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rocket::http::Status;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Faults that can be set at run time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether no call is answered or takes effect.
    pub outage: bool,
    /// How much longer each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect and lose their answer, in thousandths.
    pub lose_answers_permille: u64,
    /// Failure domains whose calls do not arrive.
    pub cut_domains: Vec<String>,
}

/// The faults of a running stand-in.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    faults: Mutex<PlatformFaults>,
    writes: Mutex<u64>,
}

impl FaultState {
    pub(crate) fn set(&self, faults: PlatformFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn get(&self) -> PlatformFaults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Lets a call of a failure domain in, late or not at all.
    pub(crate) async fn before(&self, domain: &str) -> Result<(), Status> {
        let faults = self.get();
        sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage || faults.cut_domains.iter().any(|cut| cut == domain) {
            return Err(Status::ServiceUnavailable);
        }
        Ok(())
    }

    /// Lets the answer of a write out, or loses it; which ones are lost is evenly spread.
    pub(crate) fn after_write(&self) -> Result<(), Status> {
        let lose_permille = self.get().lose_answers_permille;
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        *writes += 1;
        let lost_before = (*writes - 1) * lose_permille / 1_000;
        let lost_now = *writes * lose_permille / 1_000;
        if lost_now > lost_before {
            return Err(Status::GatewayTimeout);
        }
        Ok(())
    }
}
