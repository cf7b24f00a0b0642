//! Shrinks a history that breaks a promise.

use quickcheck::Arbitrary;

use crate::history::History;
use crate::world::run_history;

/// Returns a history that breaks a promise too and from which no smaller one was found within
/// `tries` tries.
#[must_use]
pub fn shrink(history: History, tries: usize) -> History {
    let mut smallest = history;
    let mut left = tries;
    loop {
        let smaller = smallest.shrink().find(|candidate| {
            left = left.saturating_sub(1);
            left > 0 && !run_history(candidate, None).violations.is_empty()
        });
        match smaller {
            Some(smaller) if left > 0 => smallest = smaller,
            _ => return smallest,
        }
    }
}
