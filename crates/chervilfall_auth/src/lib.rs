//! Secrets read from files, bearer tokens, and the proofs of the link handshake.

mod proof;
mod secret;

pub use proof::{Nonce, Proof, ProofRole};
pub use secret::{Secret, SecretError};
