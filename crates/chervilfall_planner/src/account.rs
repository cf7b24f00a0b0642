//! Client accounts, which submit jobs, and the limits on the resources that their tasks may use.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Name of a client account.
pub type AccountName = String;

/// A client account as defined in the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name.
    pub name: AccountName,
    /// The account's share in jobs per second while all endpoints are in use; 0 for no limit.
    pub weight: f64,
    /// Maximum resources that its tasks may use at the same time; 0 for no limit.
    pub quota: Resources,
}
