//! The engine: hands each event to the part that it concerns.

use chervilfall_platform::MembershipList;
use chervilfall_types::{EntryId, EntryIncarnation, Instant, RemoteInstant, WorkClass};
use chervilfall_wire::{PeerMessage, Summary};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::action::{Action, StoreOrder};
use crate::burn::Burn;
use crate::configuration::Configuration;
use crate::context::{Context, Outbox};
use crate::directory::Directory;
use crate::event::{Event, StoreReply};
use crate::front::{Front, Surroundings};
use crate::ledger::{Ledger, LedgerSurroundings};
use crate::members::Members;
use crate::owner::Owner;
use crate::settings::{CoreSettings, Identity, OBSERVATION_GAP_MS};

/// Makes a context from the engine's fields, leaving the other fields free to borrow.
macro_rules! context {
    ($engine:ident, $now:expr) => {
        Context {
            now: $now,
            identity: &$engine.identity,
            settings: &$engine.settings,
            outbox: &mut $engine.outbox,
        }
    };
}

/// Makes what the front reads from the engine's fields.
macro_rules! around_front {
    ($engine:ident) => {
        Surroundings {
            wait_objective_ms: $engine
                .configuration
                .document()
                .objectives
                .iter()
                .find(|objective| objective.class == WorkClass::Call)
                .map(|objective| objective.wait_ms),
            members: &mut $engine.members,
            directory: &$engine.directory,
            rng: &mut $engine.rng,
            burn: &mut $engine.burn,
        }
    };
}

/// Makes what the ledger reads from the engine's fields.
macro_rules! around_ledger {
    ($engine:ident) => {
        LedgerSurroundings {
            members: &mut $engine.members,
            directory: &$engine.directory,
            rng: &mut $engine.rng,
        }
    };
}

mod messages;
mod rpc;

/// How often calls whose owner was lost are looked at, in milliseconds.
const SETTLE_LOST_MS: u64 = 50;

/// The decision core of an entry instance.
#[derive(Debug)]
pub struct Engine {
    identity: Identity,
    settings: CoreSettings,
    members: Members,
    directory: Directory,
    owner: Owner,
    front: Front,
    ledger: Ledger,
    configuration: Configuration,
    burn: Burn,
    rng: SmallRng,
    outbox: Outbox,
    last_tick: Instant,
    next_summary: Instant,
    next_settle: Instant,
    drained_version: u64,
    stopping: bool,
}

impl Engine {
    /// Returns the core of an entry instance; `seed` is its only source of randomness.
    #[must_use]
    pub fn new(identity: Identity, settings: CoreSettings, seed: u64) -> Self {
        let incarnation = identity.incarnation;
        let members = Members::new(incarnation, &identity.domain, &settings.peers);
        Self {
            members,
            directory: Directory::default(),
            owner: Owner::new(),
            front: Front::new(settings.retry_permille),
            ledger: Ledger::new(settings.table_writes_per_s),
            configuration: Configuration::new(),
            burn: Burn::default(),
            rng: SmallRng::seed_from_u64(seed),
            outbox: Outbox::default(),
            last_tick: Instant(0),
            next_summary: Instant(0),
            next_settle: Instant(0),
            drained_version: 0,
            stopping: false,
            identity,
            settings,
        }
    }

    /// Handles an event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.members.clock(self.me(), RemoteInstant(now.0), now);
        self.event(now, event);
        while let Some(message) = self.outbox.local.pop_front() {
            self.peer(now, self.me(), message);
        }
        let mut context = context!(self, now);
        self.owner.settle(&mut context, &self.members);
        while let Some(message) = self.outbox.local.pop_front() {
            self.peer(now, self.me(), message);
        }
        self.record_finished(now);
        actions.append(&mut self.outbox.actions);
    }

    /// Counts jobs that became final against their objectives.
    fn record_finished(&mut self, now: Instant) {
        for job in self.ledger.take_finished() {
            let objectives = &self.configuration.document().objectives;
            let objective = objectives.iter().find(|o| o.class == job.class);
            let in_time = objective.is_none_or(|o| job.waited_ms <= o.wait_ms);
            let good = job.succeeded && in_time;
            self.burn.record(now, job.class, good);
        }
    }

    /// Returns whether requests may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.owner.listed() && self.ledger.synced()
    }

    /// Returns whether a planned stop has nothing left to wait for.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopping && self.front.is_idle() && self.owner.is_idle() && self.ledger.is_idle()
    }

    /// Returns the version of the configuration in force; 0 before one was read.
    #[must_use]
    pub const fn configuration_version(&self) -> u64 {
        self.configuration.document().version
    }

    fn me(&self) -> EntryId {
        self.identity.incarnation.entry
    }

    fn event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::Rpc { ticket, call } => self.rpc(now, ticket, *call),
            Event::PeerUp(incarnation) => self.peer_up(now, incarnation),
            Event::PeerDown(entry) => self.peer_down(entry),
            Event::PeerClock { entry, clock } => self.members.clock(entry, clock, now),
            Event::Peer { from, message } => self.peer(now, from, message),
            Event::Agent {
                endpoint,
                sent,
                reply,
            } => {
                let mut context = context!(self, now);
                self.owner
                    .agent(&mut context, &self.members, endpoint, sent, reply);
            }
            Event::Store { order, sent, reply } => self.store(now, order, sent, reply),
            Event::Stop => self.stop(now),
        }
    }

    fn tick(&mut self, now: Instant) {
        if now.since(self.last_tick) >= OBSERVATION_GAP_MS {
            self.directory.forget_watch();
            self.owner.forget_watch();
        }
        self.last_tick = now;
        self.apply_configuration();
        self.members.summary(self.me(), self.summary());
        let mut context = context!(self, now);
        self.configuration.tick(&mut context);
        self.owner.tick(&mut context, &self.members);
        self.directory.tick(&context, &self.members);
        let mut around = around_ledger!(self);
        self.ledger.tick(&mut context, &mut around);
        let mut around = around_front!(self);
        self.front.tick(&mut context, &mut around);
        if now >= self.next_settle {
            self.next_settle = now.after(SETTLE_LOST_MS);
            self.front.settle_lost(&mut context, &mut around);
        }
        if now >= self.next_summary {
            self.next_summary = now.after(self.settings.summary_interval_ms);
            self.send_summary(now);
        }
    }

    /// Puts into force what the configuration says about endpoints.
    fn apply_configuration(&mut self) {
        let document = self.configuration.document();
        if document.version != self.drained_version {
            self.drained_version = document.version;
            self.owner.set_drained(&document.drained);
        }
    }

    fn summary(&self) -> Summary {
        let (free, largest_free, endpoints) = self.owner.free(self.last_tick);
        Summary {
            free,
            largest_free,
            queued: self.owner.queued(),
            endpoints,
            shards: self.ledger.claims(),
            config_version: self.configuration.document().version,
            stopping: self.stopping,
        }
    }

    fn send_summary(&mut self, now: Instant) {
        let summary = self.summary();
        let mut context = context!(self, now);
        for peer in self.members.connected_peers(context.me()) {
            context.send(peer, PeerMessage::Summary(summary.clone()));
        }
    }

    fn peer_up(&mut self, now: Instant, incarnation: EntryIncarnation) {
        let entry = incarnation.entry;
        self.peer_down(entry);
        self.members.up(incarnation);
        let summary = self.summary();
        let ownership = self.owner.ownership(now);
        let mut context = context!(self, now);
        context.send(entry, PeerMessage::Summary(summary));
        self.owner.peer_up(&mut context, incarnation);
        context.send(entry, PeerMessage::Owned(ownership));
        if let Some(push) = self.configuration.push() {
            context.send(entry, push);
        }
        if !self.owner.listed() {
            context.send(entry, PeerMessage::AskMembers);
        }
        self.ledger.peer_up(&mut context, entry);
    }

    /// Puts a list of endpoints to use.
    fn take_members(&mut self, now: Instant, list: MembershipList) {
        let context = context!(self, now);
        self.owner.take_list(&context, &list);
        self.directory.take_list(list.endpoints);
        let drained = &self.configuration.document().drained;
        self.owner.set_drained(drained);
    }

    fn peer_down(&mut self, entry: EntryId) {
        self.members.down(entry);
        self.front.owner_lost(entry);
        self.ledger.peer_down(entry);
    }

    fn store(&mut self, now: Instant, order: StoreOrder, sent: Instant, reply: StoreReply) {
        let mut context = context!(self, now);
        match order {
            StoreOrder::Membership => {
                self.owner.membership_answered();
                if let StoreReply::Members(Ok(list)) = reply {
                    self.take_members(now, list);
                }
            }
            StoreOrder::Configuration => self.configuration.read(&mut context, sent, &reply),
            StoreOrder::ConfigurationChange(ticket) => {
                self.configuration
                    .changed(&mut context, &self.members, ticket, reply);
            }
            StoreOrder::ConfigurationResolve(ticket) => {
                self.configuration
                    .resolved(&mut context, &self.members, ticket, &reply);
            }
            _ => self
                .ledger
                .store(&mut context, &self.members, order, sent, reply),
        }
    }

    fn stop(&mut self, now: Instant) {
        self.stopping = true;
        self.front.stop();
        self.ledger.stop();
        let mut context = context!(self, now);
        self.owner.stop(&mut context, &self.members);
        self.members.summary(self.me(), self.summary());
        self.send_summary(now);
    }
}
