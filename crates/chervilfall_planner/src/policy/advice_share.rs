//! Share of the endpoints that the advice service allows the steps of a queue.

/// Number of answers about endpoints from which the share counts as learned: its standard error is
/// then at most a twentieth.
const MIN_ANSWERS: f64 = 100.0;
/// Number of answers that count; older ones lose their weight, because the share may change.
const MAX_ANSWERS: f64 = 2_000.0;

/// What the answers of the advice service say about a queue's share.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AdviceShare {
    asked: f64,
    granted: f64,
}

impl AdviceShare {
    /// Records an answer about endpoints that the step had not asked about before.
    pub fn record(&mut self, asked: u32, granted: u32) {
        self.asked += f64::from(asked);
        self.granted += f64::from(granted.min(asked));
        if self.asked > MAX_ANSWERS {
            let weight = MAX_ANSWERS / self.asked;
            self.asked *= weight;
            self.granted *= weight;
        }
    }

    /// Returns the share of the endpoints that is allowed, once it is learned.
    #[must_use]
    pub fn learned(&self) -> Option<f64> {
        (self.asked >= MIN_ANSWERS).then(|| self.granted / self.asked)
    }
}
