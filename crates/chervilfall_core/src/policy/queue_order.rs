//! Order of the classes in an owner's queue: interactive and urgent work first, batch last.

use chervilfall_types::{Priority, WorkClass};

/// Place of a class in the queue; lower goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Rank(u8);

/// Returns the rank of an attempt.
pub(crate) const fn rank(class: WorkClass, priority: Priority) -> Rank {
    match (class, priority) {
        (WorkClass::Call, _) => Rank(0),
        (_, Priority::Urgent) => Rank(1),
        (WorkClass::Service, _) => Rank(2),
        (WorkClass::Gang, _) => Rank(3),
        (WorkClass::Batch, Priority::Normal) => Rank(4),
        (WorkClass::Batch, Priority::Low) => Rank(5),
    }
}
