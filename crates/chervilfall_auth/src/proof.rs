//! Proofs that a peer knows the shared secret, bound to a nonce of the other side.

use hmac::{Hmac, Mac};
use rand::Rng;
use sha2::Sha256;

use crate::secret::Secret;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;

/// Random bytes that make a proof fresh.
pub type Nonce = [u8; NONCE_BYTES];

/// Which side of a link a proof comes from, so that a proof can't be sent back to its maker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofRole {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted it.
    Listener,
}

/// Makes and checks proofs.
#[derive(Debug, Clone, Copy)]
pub struct Proof;

impl Proof {
    /// Returns a fresh nonce.
    #[must_use]
    pub fn nonce() -> Nonce {
        rand::rng().random()
    }

    /// Returns the proof that the maker knows the secret, for a nonce of the other side and the
    /// identity that the maker claims.
    ///
    /// # Panics
    ///
    /// Never: a key of any length is accepted.
    #[must_use]
    pub fn make(secret: &Secret, role: ProofRole, nonce: &Nonce, identity: &[u8]) -> Vec<u8> {
        mac(secret, role, nonce, identity)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Returns whether a proof is right, in a time that does not depend on where it is wrong.
    #[must_use]
    pub fn check(
        secret: &Secret,
        role: ProofRole,
        nonce: &Nonce,
        identity: &[u8],
        proof: &[u8],
    ) -> bool {
        mac(secret, role, nonce, identity)
            .verify_slice(proof)
            .is_ok()
    }
}

fn mac(secret: &Secret, role: ProofRole, nonce: &Nonce, identity: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.expose().as_bytes())
        .expect("HMAC accepts keys of any length");
    let label: &[u8] = match role {
        ProofRole::Dialer => b"dialer",
        ProofRole::Listener => b"listener",
    };
    mac.update(label);
    mac.update(nonce);
    mac.update(identity);
    mac
}
