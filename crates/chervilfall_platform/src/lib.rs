//! The protocol that the platform's table and membership list speak.

mod membership;
mod table;

pub use membership::{EndpointRecord, EndpointState, MembershipList};
pub use table::{
    Condition, Conflict, Row, RowKey, RowVersion, ScanRequest, Transaction, TransactionAnswer,
    Write,
};
