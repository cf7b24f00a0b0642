//! Write budget: an instance's share of the table's writes, as a token bucket.

use chervilfall_types::Instant;

/// Thousandths of a token in one token.
const MILLI: u64 = 1_000;

/// Part of a second's writes that may be made at once: a whole second's from every instance
/// together would pass the table's ceiling.
const BURST_PARTS: u64 = 8;

/// Writes that may be made now.
#[derive(Debug)]
pub(crate) struct WriteBudget {
    per_s: u64,
    most_milli: u64,
    tokens_milli: u64,
    filled: Instant,
}

impl WriteBudget {
    /// Returns a full bucket for `per_s` writes a second.
    pub(crate) const fn new(per_s: u32) -> Self {
        let burst_milli = per_s as u64 * MILLI / BURST_PARTS;
        let most_milli = if burst_milli > MILLI {
            burst_milli
        } else {
            MILLI
        };
        Self {
            per_s: per_s as u64,
            most_milli,
            tokens_milli: most_milli,
            filled: Instant(0),
        }
    }

    /// Takes one write, if there is one left.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let gained = now.since(self.filled).saturating_mul(self.per_s);
        self.tokens_milli = (self.tokens_milli + gained).min(self.most_milli);
        self.filled = now;
        if self.tokens_milli < MILLI {
            return false;
        }
        self.tokens_milli -= MILLI;
        true
    }
}
