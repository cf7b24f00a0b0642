//! Puts the pieces of a configuration together.

use crate::link::message::ConfigurationPiece;

/// Pieces of one configuration, from the first one on.
#[derive(Debug, Default)]
pub(super) struct Pieces {
    asked_ms: u64,
    version: u64,
    bytes: Vec<u8>,
}

impl Pieces {
    /// Adds a piece; returns the whole configuration with the last one. A piece that does not follow
    /// those before, which may be the rest of a transfer that was given up, is dropped.
    pub(super) fn add(&mut self, piece: &ConfigurationPiece) -> Option<Vec<u8>> {
        if piece.offset == 0 {
            self.asked_ms = piece.asked_ms;
            self.version = piece.version;
            self.bytes.clear();
        }
        let same = (self.asked_ms, self.version) == (piece.asked_ms, piece.version);
        if !same || piece.offset != self.bytes.len() as u64 {
            return None;
        }
        self.bytes.extend_from_slice(&piece.bytes);
        piece.last.then(|| std::mem::take(&mut self.bytes))
    }
}
