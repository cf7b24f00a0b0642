//! Deadlines of many things, in order.

use std::collections::BTreeSet;

use chervilfall_types::Instant;

/// Keys by the time at which they are due; a key may stand more than once.
#[derive(Debug, Clone)]
pub(crate) struct Timers<Key> {
    due: BTreeSet<(Instant, Key)>,
}

impl<Key: Ord + Clone> Timers<Key> {
    pub(crate) const fn new() -> Self {
        Self {
            due: BTreeSet::new(),
        }
    }

    /// Sets a timer; setting it twice for the same time is the same as once.
    pub(crate) fn set(&mut self, at: Instant, key: Key) {
        self.due.insert((at, key));
    }

    /// Returns the key of one timer that is due, and removes the timer.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Key> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|(_, key)| key)
    }
}
