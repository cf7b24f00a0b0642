//! Links between the engines: messages in order, cuts, silence and heartbeats.

use chervilfall_core::Event;
use chervilfall_types::{EntryIncarnation, RemoteInstant};

use crate::links::Pair;
use crate::world::{domain_of, entry_id, Due, World, ENTRIES};

/// Silence after which a link is down, in microseconds.
const SILENCE_US: u64 = 1_000_000;
/// Pause between two looks at whether a cut is over, in microseconds.
const HOLD_US: u64 = 50_000;

impl World {
    /// Takes down all links of an instance whose process ended.
    pub(crate) fn break_links(&mut self, entry: usize) {
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            let link = self.links.links.get_mut(&Pair::of(entry, other));
            let was_up = link.is_some_and(|link| {
                link.session += 1;
                std::mem::take(&mut link.up)
            });
            self.links.drop_held(entry, other);
            if was_up {
                self.give(other, Event::PeerDown(entry_id(entry)));
            }
        }
    }

    /// Delivers a message if its link still stands; while nothing gets through it waits.
    pub(crate) fn arrive(&mut self, from: usize, to: usize, session: u64, event: Event) {
        if self.links.session(from, to) != Some(session) {
            return;
        }
        if self.is_cut(from, to) || self.links.holds(from, to) {
            if self.links.hold(from, to, event) {
                self.schedule(HOLD_US, Due::Held { from, to, session });
            }
            return;
        }
        self.give(to, event);
    }

    /// Delivers what a cut held back once it is over; a link that broke meanwhile has lost it.
    pub(crate) fn held(&mut self, from: usize, to: usize, session: u64) {
        if self.links.session(from, to) != Some(session) {
            self.links.take_held(from, to);
            return;
        }
        if self.is_cut(from, to) {
            self.schedule(HOLD_US, Due::Held { from, to, session });
            return;
        }
        for event in self.links.take_held(from, to) {
            self.give(to, event);
        }
    }

    pub(crate) fn is_cut(&self, first: usize, second: usize) -> bool {
        let pair = Pair::of(first, second);
        let domains = [domain_of(first), domain_of(second)];
        let domain_cut = domains[0] != domains[1]
            && domains
                .iter()
                .any(|domain| self.now_us < self.faults.cut_us[*domain]);
        domain_cut
            || self
                .faults
                .pairs
                .iter()
                .any(|(cut, until_us)| *cut == pair && self.now_us < *until_us)
    }

    /// Brings links up and down, and carries heartbeats.
    pub(crate) fn check_links(&mut self) {
        let pairs: Vec<Pair> = self.links.links.keys().copied().collect();
        for pair in pairs {
            let [first, second] = pair.ends();
            let alive = pair.ends().iter().all(|e| self.slots[*e].engine.is_some());
            let through = alive
                && !self.is_cut(first, second)
                && !self.is_paused(first)
                && !self.is_paused(second);
            let now_us = self.now_us;
            let Some(link) = self.links.links.get_mut(&pair) else {
                continue;
            };
            if through {
                link.silent_since_us = None;
                if link.up {
                    self.beat(first, second);
                } else {
                    link.up = true;
                    link.session += 1;
                    self.link_up(first, second);
                }
                continue;
            }
            let since_us = *link.silent_since_us.get_or_insert(now_us);
            let silent = now_us - since_us >= SILENCE_US;
            if link.up && (!alive || silent) {
                link.up = false;
                link.session += 1;
                self.links.drop_held(first, second);
                for (entry, other) in [(first, second), (second, first)] {
                    self.give(entry, Event::PeerDown(entry_id(other)));
                }
            }
        }
    }

    pub(crate) fn link_up(&mut self, first: usize, second: usize) {
        for (entry, other) in [(first, second), (second, first)] {
            let incarnation = EntryIncarnation {
                entry: entry_id(other),
                nonce: self.slots[other].nonce,
            };
            self.give(entry, Event::PeerUp(incarnation));
        }
        self.beat(first, second);
    }

    pub(crate) fn beat(&mut self, first: usize, second: usize) {
        for (entry, other) in [(first, second), (second, first)] {
            let clock = RemoteInstant(self.engine_time(other).0);
            let event = Event::PeerClock {
                entry: entry_id(other),
                clock,
            };
            let run = self.slots[entry].run;
            let delay_us = 500 + self.below(2_000);
            self.schedule(delay_us, Due::Give { entry, run, event });
        }
    }
}
