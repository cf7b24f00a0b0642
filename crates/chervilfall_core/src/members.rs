//! The other entry instances: links, clocks, summaries and what they own.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use chervilfall_types::{
    DomainName, EndpointName, EntryId, EntryIncarnation, Epoch, Instant, RemoteInstant, ShardId,
};
use chervilfall_wire::{Ownership, Summary};

use crate::remote_clock::RemoteClock;
use crate::rpc::PeerReport;
use crate::settings::PeerSettings;

/// What is known of one entry instance, this one included.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) domain: DomainName,
    pub(crate) incarnation: Option<EntryIncarnation>,
    pub(crate) clock: Option<RemoteClock>,
    pub(crate) summary: Summary,
    pub(crate) synced: BTreeSet<EndpointName>,
    pub(crate) claimed: BTreeSet<EndpointName>,
    /// Attempts sent there since its last summary.
    pub(crate) forwarded: u32,
}

impl Member {
    /// Returns whether messages reach the instance.
    pub(crate) const fn connected(&self) -> bool {
        self.incarnation.is_some()
    }

    /// Returns whether the instance can be given work.
    pub(crate) const fn usable(&self) -> bool {
        self.connected() && self.clock.is_some() && !self.summary.stopping
    }
}

/// All entry instances of the cell.
#[derive(Debug)]
pub(crate) struct Members {
    members: BTreeMap<EntryId, Member>,
    holders: HashMap<ShardId, (Epoch, EntryId)>,
}

impl Members {
    /// Returns the members that the settings name; this instance is connected to itself.
    pub(crate) fn new(
        me: EntryIncarnation,
        my_domain: &DomainName,
        peers: &[PeerSettings],
    ) -> Self {
        let mut members = BTreeMap::new();
        for peer in peers {
            members.insert(peer.entry, unconnected(peer.domain.clone()));
        }
        let mut myself = unconnected(my_domain.clone());
        myself.incarnation = Some(me);
        members.insert(me.entry, myself);
        Self {
            members,
            holders: HashMap::new(),
        }
    }

    pub(crate) fn get(&self, entry: EntryId) -> Option<&Member> {
        self.members.get(&entry)
    }

    pub(crate) fn get_mut(&mut self, entry: EntryId) -> Option<&mut Member> {
        self.members.get_mut(&entry)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (EntryId, &Member)> {
        self.members.iter().map(|(entry, member)| (*entry, member))
    }

    /// Returns the connected instances other than `me`.
    pub(crate) fn connected_peers(&self, me: EntryId) -> Vec<EntryId> {
        self.iter()
            .filter(|(entry, member)| *entry != me && member.connected())
            .map(|(entry, _)| entry)
            .collect()
    }

    pub(crate) fn up(&mut self, incarnation: EntryIncarnation) {
        if let Some(member) = self.members.get_mut(&incarnation.entry) {
            let domain = member.domain.clone();
            *member = unconnected(domain);
            member.incarnation = Some(incarnation);
        }
    }

    pub(crate) fn down(&mut self, entry: EntryId) {
        if let Some(member) = self.members.get_mut(&entry) {
            let domain = member.domain.clone();
            *member = unconnected(domain);
        }
        self.holders.retain(|_, (_, holder)| *holder != entry);
    }

    pub(crate) fn clock(&mut self, entry: EntryId, clock: RemoteInstant, now: Instant) {
        if let Some(member) = self.members.get_mut(&entry) {
            member.clock = Some(RemoteClock::new(clock, now));
        }
    }

    pub(crate) fn summary(&mut self, entry: EntryId, summary: Summary) {
        let held: BTreeSet<ShardId> = summary.shards.iter().map(|claim| claim.shard).collect();
        self.holders
            .retain(|shard, (_, holder)| *holder != entry || held.contains(shard));
        for claim in &summary.shards {
            self.note_holder(claim.shard, claim.epoch, entry);
        }
        if let Some(member) = self.members.get_mut(&entry) {
            member.summary = summary;
            member.forwarded = 0;
        }
    }

    pub(crate) fn ownership(&mut self, entry: EntryId, ownership: Ownership) {
        if let Some(member) = self.members.get_mut(&entry) {
            member.synced = ownership.synced.into_iter().collect();
            member.claimed = ownership.claimed.into_iter().collect();
        }
    }

    /// Notes that an instance holds a shard, as its inquiry says.
    pub(crate) fn note_holder(&mut self, shard: ShardId, epoch: Epoch, holder: EntryId) {
        let known = self.holders.get(&shard);
        if known.is_none_or(|(known, _)| *known <= epoch) {
            self.holders.insert(shard, (epoch, holder));
        }
    }

    /// Returns the connected instance that holds a shard with the highest known epoch.
    pub(crate) fn holder(&self, shard: ShardId) -> Option<EntryId> {
        self.holders.get(&shard).map(|(_, holder)| *holder)
    }

    /// Returns the instance that has synced an endpoint, if it is connected.
    pub(crate) fn owner_of(&self, endpoint: &EndpointName) -> Option<EntryId> {
        self.iter()
            .find(|(_, member)| member.synced.contains(endpoint))
            .map(|(entry, _)| entry)
    }

    /// Returns the instances of a domain that could own endpoints and are connected.
    pub(crate) fn candidates<'a>(
        &'a self,
        domain: &'a DomainName,
    ) -> impl Iterator<Item = EntryId> + 'a {
        self.iter()
            .filter(move |(_, member)| {
                member.domain == *domain && member.connected() && !member.summary.stopping
            })
            .map(|(entry, _)| entry)
    }

    /// Returns whether every configured instance of a domain is connected, and none but `me`
    /// holds or asks for the lease of an endpoint.
    pub(crate) fn nobody_else_owns(
        &self,
        me: EntryId,
        domain: &DomainName,
        endpoint: &EndpointName,
    ) -> bool {
        self.iter()
            .filter(|(entry, member)| *entry != me && member.domain == *domain)
            .all(|(_, member)| {
                member.connected()
                    && !member.synced.contains(endpoint)
                    && !member.claimed.contains(endpoint)
            })
    }

    pub(crate) fn reports(&self, me: EntryId) -> Vec<PeerReport> {
        self.iter()
            .filter(|(entry, _)| *entry != me)
            .map(|(entry, member)| PeerReport {
                entry,
                domain: member.domain.clone(),
                connected: member.connected(),
                queued: u64::from(member.summary.queued),
            })
            .collect()
    }
}

fn unconnected(domain: DomainName) -> Member {
    Member {
        domain,
        incarnation: None,
        clock: None,
        summary: Summary::default(),
        synced: BTreeSet::new(),
        claimed: BTreeSet::new(),
        forwarded: 0,
    }
}
