//! Retry budget: retries draw on a fraction of first attempts, so that a brown-out is not
//! amplified.

/// Most retries that can be saved up, in thousandths.
const MAX_SAVED_PERMILLE: u64 = 100_000;

/// Retries that are still allowed.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    permille: u64,
    saved_permille: u64,
}

impl RetryBudget {
    /// Returns a budget that allows `permille` retries for each thousand first attempts, and
    /// begins with a reserve of ten.
    pub(crate) const fn new(permille: u32) -> Self {
        Self {
            permille: permille as u64,
            saved_permille: 10_000,
        }
    }

    /// Counts a first attempt.
    pub(crate) fn deposit(&mut self) {
        self.saved_permille = (self.saved_permille + self.permille).min(MAX_SAVED_PERMILLE);
    }

    /// Takes one retry, if the budget allows it.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.saved_permille < 1_000 {
            return false;
        }
        self.saved_permille -= 1_000;
        true
    }
}
