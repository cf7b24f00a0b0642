//! Client accounts: who hands jobs in, and how much of the endpoints their tasks may use.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Name of a client account.
pub type AccountName = String;

/// A client account, as the configuration has it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// Jobs a second that are its share when all endpoints are in use; 0 for no bound.
    pub weight: f64,
    /// Most that its tasks may take at the same time; 0 for no limit.
    pub quota: Resources,
}
