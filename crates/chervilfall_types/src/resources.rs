//! Amounts of the resources that an endpoint has and a task holds.

use std::ops::{Add, AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Processors, in thousandths of one.
    #[serde(skip_serializing_if = "is_zero")]
    pub processors_milli: u64,
    /// Memory, in mebibytes.
    #[serde(skip_serializing_if = "is_zero")]
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(skip_serializing_if = "is_zero")]
    pub accelerators: u64,
    /// Request slots of a service.
    #[serde(skip_serializing_if = "is_zero")]
    pub slots: u64,
    /// Connections of a service.
    #[serde(skip_serializing_if = "is_zero")]
    pub connections: u64,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The shape that serde asks for.
const fn is_zero(amount: &u64) -> bool {
    *amount == 0
}

impl Resources {
    /// Number of resources.
    pub const COUNT: usize = 5;

    /// Returns the amounts in the order of the fields.
    #[must_use]
    pub const fn amounts(&self) -> [u64; Self::COUNT] {
        [
            self.processors_milli,
            self.memory_mib,
            self.accelerators,
            self.slots,
            self.connections,
        ]
    }

    /// Returns the resources with the given amounts, in the order of the fields.
    #[must_use]
    pub const fn from_amounts(amounts: [u64; Self::COUNT]) -> Self {
        Self {
            processors_milli: amounts[0],
            memory_mib: amounts[1],
            accelerators: amounts[2],
            slots: amounts[3],
            connections: amounts[4],
        }
    }

    /// Returns whether this amount fits into `free` in every resource.
    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        let free = free.amounts();
        self.amounts()
            .iter()
            .zip(free)
            .all(|(need, free)| *need <= free)
    }

    /// Returns what is left after `taken`, and zero where more was taken than there is.
    #[must_use]
    pub fn saturating_sub(&self, taken: &Self) -> Self {
        let taken = taken.amounts();
        let mut amounts = self.amounts();
        for (amount, taken) in amounts.iter_mut().zip(taken) {
            *amount = amount.saturating_sub(taken);
        }
        Self::from_amounts(amounts)
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        let mut amounts = self.amounts();
        for (amount, other) in amounts.iter_mut().zip(other.amounts()) {
            *amount = amount.saturating_add(other);
        }
        *self = Self::from_amounts(amounts);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(&other);
    }
}
