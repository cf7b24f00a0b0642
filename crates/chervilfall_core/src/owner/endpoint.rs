//! One endpoint as an entry instance sees it.

use std::collections::BTreeSet;

use chervilfall_agent::{StartOrder, StopOrder};
use chervilfall_platform::{EndpointRecord, EndpointState};
use chervilfall_types::{AttemptKey, Epoch, Instant, Resources};

use crate::owner::fences::Fences;
use crate::owner::AttemptId;
use crate::policy::quarantine::Health;
use crate::remote_clock::RemoteClock;
use crate::rpc::{EndpointPhase, EndpointReport};

/// Where the control lease of an endpoint stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lease {
    /// Not held here; may be asked for from this time.
    Unowned { retry_at: Instant },
    /// Asked for.
    Claiming,
    /// Held; the endpoint's attempts and fence are not known yet.
    Syncing { epoch: Epoch, until: Instant },
    /// Held and in use.
    Held { epoch: Epoch, until: Instant },
    /// Being given back.
    Releasing,
}

impl Lease {
    /// Returns whether work may be ordered under it.
    pub(crate) const fn is_held(&self) -> bool {
        matches!(self, Self::Held { .. })
    }

    /// Returns whether it is held or asked for.
    pub(crate) const fn is_wanted_by_us(&self) -> bool {
        !matches!(self, Self::Unowned { .. })
    }

    /// Returns its epoch and end while it is held.
    pub(crate) const fn grant(&self) -> Option<(Epoch, Instant)> {
        match self {
            Self::Syncing { epoch, until } | Self::Held { epoch, until } => Some((*epoch, *until)),
            Self::Unowned { .. } | Self::Claiming | Self::Releasing => None,
        }
    }
}

/// Orders that wait for the next exchange.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub(crate) starts: Vec<StartOrder>,
    pub(crate) stops: Vec<StopOrder>,
    pub(crate) forget: Vec<AttemptKey>,
}

impl Orders {
    pub(crate) fn is_empty(&self) -> bool {
        self.starts.is_empty() && self.stops.is_empty() && self.forget.is_empty()
    }
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) capacity: Resources,
    pub(crate) lease: Lease,
    pub(crate) clock: Option<RemoteClock>,
    pub(crate) reserved: Resources,
    pub(crate) attempts: BTreeSet<AttemptId>,
    pub(crate) orders: Orders,
    /// Orders of the exchange that is on its way.
    pub(crate) exchanging: Option<Orders>,
    /// Earliest time of the next exchange.
    pub(crate) exchange_at: Instant,
    /// Fence that the exchange on its way sets.
    pub(crate) fence_sent: Option<Fences>,
    /// Fence that the endpoint is known to have.
    pub(crate) fence: Fences,
    pub(crate) fence_wanted: bool,
    pub(crate) listing: bool,
    /// Epoch under which the endpoint's list was read.
    pub(crate) listed_under: Option<Epoch>,
    pub(crate) polling: bool,
    pub(crate) poll_at: Instant,
    pub(crate) last_event: u64,
    /// When the lease was granted.
    pub(crate) granted_at: Instant,
    /// When a request that may have renewed the lease was last sent.
    pub(crate) renewal_sent: Instant,
    /// Since when no other instance has held or asked for it, while all are connected.
    pub(crate) alone_since: Option<Instant>,
    /// How its attempts end.
    pub(crate) health: Health,
    pub(crate) drained: bool,
    pub(crate) leaving: bool,
    pub(crate) listed: bool,
}

impl Endpoint {
    pub(crate) fn new(record: EndpointRecord) -> Self {
        Self {
            capacity: record.capacity,
            leaving: record.state == EndpointState::Leaving,
            record,
            lease: Lease::Unowned {
                retry_at: Instant(0),
            },
            clock: None,
            reserved: Resources::default(),
            attempts: BTreeSet::new(),
            orders: Orders::default(),
            exchanging: None,
            exchange_at: Instant(0),
            fence_sent: None,
            fence: Fences::default(),
            fence_wanted: false,
            listing: false,
            listed_under: None,
            polling: false,
            poll_at: Instant(0),
            last_event: 0,
            granted_at: Instant(0),
            renewal_sent: Instant(0),
            alone_since: None,
            health: Health::default(),
            drained: false,
            listed: true,
        }
    }

    /// Takes the list's word on where the endpoint is and whether it stays.
    pub(crate) fn relist(&mut self, record: &EndpointRecord) {
        self.listed = true;
        self.leaving |= record.state == EndpointState::Leaving;
        self.record = record.clone();
    }

    /// Returns whether attempts may start on it.
    pub(crate) const fn takes_work(&self) -> bool {
        self.lease.is_held() && !self.drained && !self.leaving
    }

    /// Returns whether attempts may start on it now: a lease that lapsed while this process was
    /// paused counts for nothing, and one that fails what it starts is in quarantine.
    pub(crate) fn takes_work_at(&self, now: Instant) -> bool {
        self.epoch_at(now).is_some() && self.takes_work() && self.health.admits(now)
    }

    /// Returns whether the lease in force was granted before a call was sent, so that the answer
    /// to the call speaks of this lease.
    pub(crate) fn was_granted_before(&self, sent: Instant) -> bool {
        self.lease.grant().is_some() && self.granted_at <= sent
    }

    /// Returns the epoch of the lease, if it is in force.
    pub(crate) fn epoch_at(&self, now: Instant) -> Option<Epoch> {
        let (epoch, until) = self.lease.grant()?;
        (now < until).then_some(epoch)
    }

    /// Returns the epoch of the lease, if it is in force and the endpoint was listed under it:
    /// what is believed of its attempts from before the list may be long over.
    pub(crate) fn listed_epoch_at(&self, now: Instant) -> Option<Epoch> {
        let epoch = self.epoch_at(now)?;
        (self.listed_under == Some(epoch)).then_some(epoch)
    }

    /// Returns whether no other instance has held the lease between the last list that was read
    /// here and the lease in force: each grant raises the epoch by one.
    pub(crate) fn has_been_ours_since_the_last_list(&self) -> bool {
        let granted = self.lease.grant().map(|(epoch, _)| epoch.0);
        let listed = self.listed_under.map(|epoch| epoch.0);
        listed.is_some_and(|listed| granted == Some(listed + 1))
    }

    /// Returns what is free on it.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.reserved)
    }

    /// Returns whether it left the list and nothing here depends on it.
    pub(crate) fn may_be_removed(&self) -> bool {
        !self.listed && !self.lease.is_wanted_by_us() && self.attempts.is_empty()
    }

    /// Returns whether the endpoint is known to have all of `fences`.
    pub(crate) fn fence_is(&self, fences: &Fences) -> bool {
        self.fence == *fences
    }

    pub(crate) fn report(&self) -> EndpointReport {
        let phase = match self.lease {
            Lease::Unowned { .. } if self.attempts.is_empty() => EndpointPhase::Unowned,
            Lease::Unowned { .. } => EndpointPhase::Unreachable,
            Lease::Claiming => EndpointPhase::Claiming,
            Lease::Syncing { .. } => EndpointPhase::Syncing,
            Lease::Held { .. } if self.takes_work() => EndpointPhase::Owned,
            Lease::Held { .. } | Lease::Releasing => EndpointPhase::Draining,
        };
        EndpointReport {
            name: self.record.name.clone(),
            domain: self.record.domain.clone(),
            rack: self.record.rack.clone(),
            phase,
            capacity: self.capacity,
            reserved: self.reserved,
            attempts: self.attempts.len() as u64,
            epoch: self.lease.grant().map(|(epoch, _)| epoch.0),
        }
    }
}
