//! A secret that never shows in logs.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use subtle::ConstantTimeEq;

/// Shortest secret that is accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Why a secret can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SecretError {
    /// The file can't be read.
    #[error("can't read secret file {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The secret is too short.
    #[error("secret in {path} is shorter than {MIN_SECRET_BYTES} bytes")]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

/// A shared secret or token.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Reads a secret from a file; white space around it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or holds fewer than 16 bytes.
    pub fn read(path: &Path) -> Result<Self, SecretError> {
        let text = fs::read_to_string(path).map_err(|source| SecretError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        let secret = text.trim();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(SecretError::TooShort {
                path: path.to_owned(),
            });
        }
        Ok(Self(secret.to_owned()))
    }

    /// Returns whether `offered` is the secret, in a time that does not depend on where they
    /// differ.
    #[must_use]
    pub fn matches(&self, offered: &str) -> bool {
        self.0.as_bytes().ct_eq(offered.as_bytes()).into()
    }

    /// Returns the secret for use in a credential that is sent.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}
