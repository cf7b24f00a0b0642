//! The control thread: feeds the planner while this node holds the group, and carries out its
//! actions.

mod actions;
mod events;
mod links;
mod load_report;
mod orders;
mod relays;
mod thread_lags;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use chervilfall_kernel::{ControlLoop, Work};
use chervilfall_planner::{
    Answer, DirectCalls, Event, HandoverPolicy, HolderTerm, Limits, NodeId, Planner, RelayUse,
    ReplyTo, Request, StartNote, StepDownReason, StoredGroup, Takeover,
};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

use crate::clock::{now_ms, unix_ms};
use crate::configuration::ConfigurationState;
use crate::front::Front;
use crate::leadership::{Leadership, LeadershipState, PendingRequest};
use crate::link::FollowerLink;
use crate::load::{ControlLoad, WorkKind};
use crate::ports::Platform;
use crate::runtime_thread::Spawner;

pub(crate) use events::ControlEvent;
use relays::Relays;
use thread_lags::ThreadLags;

/// Number of this node among those that can call the advice service.
const LOCAL_NODE: NodeId = 0;

/// What the loop of the control thread has from its node.
pub(crate) struct ControlContext<P> {
    pub(crate) platform: P,
    pub(crate) group: String,
    pub(crate) limits: Limits,
    pub(crate) heartbeat_ms: u64,
    /// Size of this node, in thousandths of a core.
    pub(crate) size_permille: u64,
    /// Age that the claim does not exceed while the store is healthy.
    pub(crate) usual_claim_age_ms: u64,
    pub(crate) configuration: Arc<ConfigurationState>,
    pub(crate) front: Arc<Front>,
    pub(crate) leadership: Arc<LeadershipState>,
    /// Takes events to the loop itself.
    pub(crate) sender: mpsc::Sender<ControlEvent>,
    /// Runs calls to endpoints and to the advice service.
    pub(crate) traffic: Handle,
    pub(crate) commits: Spawner,
    pub(crate) link_thread: Spawner,
}

/// The loop of the control thread.
pub(crate) struct Control<P> {
    context: ControlContext<P>,
    planner: Option<Planner>,
    /// Decides about handovers while this node holds the group.
    handover: Option<HandoverPolicy>,
    /// Starts that this node made as a holder and could not store, until the next holder has them.
    unstored: Vec<StartNote>,
    /// Version of the configuration that the planner has.
    planner_configuration_version: Option<u64>,
    /// This node is reading the rows of a group that it has claimed.
    recovering: bool,
    links: BTreeMap<NodeId, FollowerLink>,
    relays: Relays,
    waiting: HashMap<u64, oneshot::Sender<Answer>>,
    next_request: u64,
    heartbeat_due_ms: u64,
    load: ControlLoad,
    lags: ThreadLags,
}

impl<P: Platform> Control<P> {
    pub(crate) fn new(context: ControlContext<P>) -> Self {
        let size_permille = context.size_permille;
        let relay_use = RelayUse::new(context.limits.policies.endpoint_relays, size_permille);
        Self {
            context,
            planner: None,
            handover: None,
            unstored: Vec::new(),
            planner_configuration_version: None,
            recovering: false,
            links: BTreeMap::new(),
            relays: Relays::new(relay_use, DirectCalls::new(size_permille)),
            waiting: HashMap::new(),
            next_request: 0,
            heartbeat_due_ms: 0,
            load: ControlLoad::new(Instant::now()),
            lags: ThreadLags::default(),
        }
    }

    fn feed(&mut self, event: Event) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        let term = planner.term();
        let actions = planner.handle(now_ms(), event);
        for action in actions {
            self.carry_out(term, action);
        }
    }

    /// Feeds an event to the planner if its term has not ended.
    fn feed_in_term(&mut self, term: u64, event: Event) {
        let current = self.planner.as_ref().map(Planner::term);
        if current == Some(term) {
            self.feed(event);
        }
    }

    fn step_down(&mut self, reason: StepDownReason) {
        log::info!(reason:? = reason; "holder stepped down, following again");
        if let Some(planner) = self.planner.take() {
            self.unstored = planner.unstored_starts();
        }
        self.handover = None;
        if reason == StepDownReason::Released {
            self.context.leadership.record_release();
        }
        self.waiting.clear();
        self.relays.clear();
        self.drop_links();
        if matches!(self.context.leadership.current(), Leadership::Local) {
            self.context.leadership.set(Leadership::NoHolder);
            self.context.front.set_claim_age(u64::MAX);
        }
    }

    fn claimed(&mut self, takeover: Takeover, stored: StoredGroup, claimed_ms: u64) {
        self.context.leadership.note_term(takeover.row.term);
        let planner = Planner::new(self.context.limits.clone(), takeover, stored, claimed_ms);
        self.planner = Some(planner);
        self.handover = Some(HandoverPolicy::new(HolderTerm {
            size_permille: self.context.size_permille,
            began_ms: claimed_ms,
            usual_claim_age_ms: self.context.usual_claim_age_ms,
            overload_handover: self.context.limits.policies.overload_handover,
        }));
        self.context.leadership.set(Leadership::Local);
        self.planner_configuration_version = None;
        self.update_planner_configuration();
        self.feed_nodes();
        if self.context.front.stopping() {
            // The stop began while the group was taken over.
            self.release();
        }
        // Links that were kept open while rows were read get a heartbeat immediately.
        self.heartbeat_due_ms = 0;
        self.send_heartbeats();
    }

    /// Begins to hand the group over for a planned stop, if this node holds it.
    fn release(&mut self) {
        if let Some(planner) = &mut self.planner {
            planner.release();
        }
    }

    /// Passes a configuration that has come into force to the planner. This is checked before each
    /// event, so that nothing is decided by an older one, however many events are queued.
    fn update_planner_configuration(&mut self) {
        if self.planner.is_none()
            || self.context.configuration.version() == self.planner_configuration_version
        {
            return;
        }
        let Some(table) = self.context.configuration.current() else {
            return;
        };
        self.planner_configuration_version = Some(table.version);
        metrics::gauge!("chervilfall_configuration_version", "at" => "planner")
            .set(table.version as f64);
        self.feed(Event::Configured(Arc::new(table.configuration())));
    }

    /// Requests a reading of the configuration if the node that accepted a request has a newer one.
    fn note_request_version(&self, request: &Request) {
        if let Request::Submit { queue, .. } = request {
            self.context
                .configuration
                .note_remote_version(Some(queue.configuration));
        }
    }

    /// Hands the group over to a linked node if that one can serve all callers better.
    fn hand_over_if_due(&mut self) {
        let (Some(planner), Some(handover)) = (&mut self.planner, &mut self.handover) else {
            return;
        };
        let now = now_ms();
        let steady = self.links.values().map(|link| link.node);
        let steady = steady.filter(|node| node.is_steady(now));
        let largest_permille = steady.map(|node| node.size_permille).max();
        planner.set_required_permille(largest_permille.unwrap_or(0));
        if planner.is_releasing() {
            return;
        }
        let claim_age_ms = planner.claim_age_ms(now);
        let Some(reason) = handover.decide(now, claim_age_ms, largest_permille) else {
            return;
        };
        log::info!(
            term = planner.term(), reason = reason.label(), wanted_permille = largest_permille,
            size_permille = self.context.size_permille, mean_wait_ms = handover.mean_wait_ms(),
            claim_age_ms = claim_age_ms;
            "group is handed over"
        );
        metrics::counter!("chervilfall_handovers_total", "reason" => reason.label()).increment(1);
        planner.release();
    }

    fn accept_request(&mut self, pending: PendingRequest) {
        if self.planner.is_none() {
            // Dropping the sender makes the front look for the holder again.
            return;
        }
        self.next_request += 1;
        let number = self.next_request;
        self.waiting.insert(number, pending.answer);
        self.feed(Event::Request {
            to: ReplyTo {
                node: LOCAL_NODE,
                number,
            },
            request: pending.request,
        });
    }
}

impl<P: Platform> ControlLoop for Control<P> {
    type Event = ControlEvent;

    fn handle(&mut self, event: ControlEvent) {
        let (kind, began) = (event.kind(), Instant::now());
        self.update_planner_configuration();
        self.handle_event(event);
        self.load.add_kind(kind, began.elapsed());
    }

    fn tick(&mut self) {
        let began = Instant::now();
        self.update_planner_configuration();
        self.end_overdue_orders();
        self.report_lag();
        self.feed(Event::Tick { unix_ms: unix_ms() });
        self.send_unstored_starts();
        self.send_heartbeats();
        self.load.add_kind(WorkKind::Ticks, began.elapsed());
    }

    fn batch_handled(&mut self) {
        self.send_orders();
    }

    fn worked(&mut self, work: Work) {
        self.load.add(work);
        if let Some(status) = self.load.status(Instant::now()) {
            self.report_load(status);
        }
    }
}

impl<P: Platform> Control<P> {
    fn handle_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::LocalRequest(pending) => {
                self.note_request_version(&pending.request);
                self.accept_request(pending);
            }
            ControlEvent::LinkUp { id, node, link } => self.link_up(id, &node, link),
            ControlEvent::LinkDown { id } => self.link_down(id),
            ControlEvent::LinkRequest {
                id,
                number,
                request,
            } => {
                self.note_request_version(&request);
                let to = ReplyTo { node: id, number };
                self.feed_from_link(id, Event::Request { to, request });
            }
            ControlEvent::UnstoredStarts(starts) => self.feed(Event::UnstoredStarts(starts)),
            ControlEvent::LinkAdvised { id, number, answer } => {
                self.feed_from_link(id, Event::Advised { number, answer });
            }
            ControlEvent::EndpointAnswers(answers) => self.handle_answers(answers),
            ControlEvent::ActionCompleted { term, event } => self.feed_in_term(term, event),
            ControlEvent::CommitCompleted {
                term,
                waited,
                event,
            } => {
                self.load.record_commit_wait(waited);
                self.feed_in_term(term, event);
            }
            ControlEvent::Claimed {
                takeover,
                stored,
                claimed_ms,
            } => self.claimed(takeover, stored, claimed_ms),
            ControlEvent::Recovering(recovering) => self.set_recovering(recovering),
            ControlEvent::Endpoints {
                read_ms,
                entries,
                evacuated,
            } => {
                self.set_endpoints(&entries);
                self.feed(Event::Endpoints {
                    read_ms,
                    entries,
                    evacuated,
                });
            }
            ControlEvent::Release => self.release(),
            ControlEvent::Probe(sent) => self.load.record_queue_age(sent.elapsed()),
            ControlEvent::ThreadProbe { thread, ran } => self.lags.record(thread, ran),
        }
    }
}
