//! Links between entry instances: in order, and lost as a whole when they break.

use std::collections::{BTreeMap, VecDeque};

use chervilfall_core::Event;

/// A pair of entry instances, the lower number first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pair(usize, usize);

impl Pair {
    pub(crate) fn of(first: usize, second: usize) -> Self {
        Self(first.min(second), first.max(second))
    }

    pub(crate) const fn ends(self) -> [usize; 2] {
        [self.0, self.1]
    }
}

/// One link.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    /// Number of the present connection; messages of older ones are lost.
    pub(crate) session: u64,
    pub(crate) up: bool,
    /// When the last message in each direction arrives, to keep them in order.
    last_us: [u64; 2],
    /// Messages in each direction that a cut holds back, in order.
    held: [VecDeque<Event>; 2],
    /// Since when nothing gets through, if so.
    pub(crate) silent_since_us: Option<u64>,
}

/// All links.
#[derive(Debug, Default)]
pub(crate) struct Links {
    pub(crate) links: BTreeMap<Pair, Link>,
}

impl Links {
    pub(crate) fn new(entries: usize) -> Self {
        let mut links = BTreeMap::new();
        for first in 0..entries {
            for second in first + 1..entries {
                links.insert(Pair(first, second), Link::default());
            }
        }
        Self { links }
    }

    /// Returns the session and the time of arrival of a message, if the link is up.
    pub(crate) fn send(
        &mut self,
        from: usize,
        to: usize,
        now_us: u64,
        delay_us: u64,
    ) -> Option<(u64, u64)> {
        let link = self.links.get_mut(&Pair::of(from, to))?;
        if !link.up {
            return None;
        }
        let direction = usize::from(from < to);
        let at_us = (now_us + delay_us).max(link.last_us[direction] + 1);
        link.last_us[direction] = at_us;
        Some((link.session, at_us))
    }

    /// Holds a message back behind those that are held already; returns whether it is the first.
    pub(crate) fn hold(&mut self, from: usize, to: usize, event: Event) -> bool {
        let Some(link) = self.links.get_mut(&Pair::of(from, to)) else {
            return false;
        };
        let held = &mut link.held[usize::from(from < to)];
        held.push_back(event);
        held.len() == 1
    }

    /// Returns whether messages in a direction are held back.
    pub(crate) fn holds(&self, from: usize, to: usize) -> bool {
        let link = self.links.get(&Pair::of(from, to));
        link.is_some_and(|link| !link.held[usize::from(from < to)].is_empty())
    }

    /// Takes all messages that are held back in a direction.
    pub(crate) fn take_held(&mut self, from: usize, to: usize) -> VecDeque<Event> {
        let link = self.links.get_mut(&Pair::of(from, to));
        link.map_or_else(VecDeque::new, |link| {
            std::mem::take(&mut link.held[usize::from(from < to)])
        })
    }

    /// Loses what is held back on a link that broke.
    pub(crate) fn drop_held(&mut self, first: usize, second: usize) {
        self.take_held(first, second);
        self.take_held(second, first);
    }

    pub(crate) fn session(&self, first: usize, second: usize) -> Option<u64> {
        let link = self.links.get(&Pair::of(first, second))?;
        link.up.then_some(link.session)
    }
}
