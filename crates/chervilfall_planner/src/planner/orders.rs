//! Start and stop orders, and the handling of their answers.

use crate::action::{Action, StartOrder, StepDownReason, StopOrder};
use crate::endpoint::EndpointKey;
use crate::event::{Refusal, StartAnswer, StopAnswer, Ticket};
use crate::ids::{Run, TaskKey};
use crate::metrics;
use crate::placed_run::{PlacedRun, RunPhase};
use crate::planner::gap::ServiceMilestone;
use crate::planner::Planner;
use crate::policy::placement::LatencyClass;
use crate::policy::soft_limits::RoomWait;
use crate::resources::Resources;
use crate::tasks::{TaskState, RUNS_PER_TERM};

impl Planner {
    /// Returns the run number of a task's next start: higher than any used by this holder or by
    /// earlier ones, whose terms are lower.
    pub(super) fn next_run(&self, last_run: Run) -> Run {
        let first = (self.holder.term - 1) * RUNS_PER_TERM + 1;
        first.max(last_run + 1)
    }

    /// Places a run and orders its start. Returns false if that is not possible.
    pub(super) fn place_and_start(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        run: Run,
        ticket: Option<Ticket>,
    ) -> bool {
        let Some(order) = self.start_order(key, task, run, ticket) else {
            return false;
        };
        if !self.place_run(key, task, run, RunPhase::Starting, false) {
            return false;
        }
        self.send_start(order);
        true
    }

    /// Records a run with its endpoint, and its usage with the account of its job.
    pub(super) fn record_run(&mut self, key: EndpointKey, task: TaskKey, placed: PlacedRun) {
        if let Some((account, usage)) = placed.charge {
            self.accounts.add(account, usage);
        }
        let replaced = self.endpoints[key].place(task, placed);
        self.release_usage(replaced);
    }

    /// Subtracts the usage of a run from the account of its job.
    pub(super) fn release_usage(&mut self, placed: Option<PlacedRun>) {
        if let Some((account, usage)) = placed.and_then(|placed| placed.charge) {
            self.accounts.remove(account, usage);
            self.note_usage_released(account, usage);
        }
    }

    /// Records a run with its endpoint and its task. Returns false if one of them does not exist.
    pub(super) fn place_run(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        run: Run,
        phase: RunPhase,
        exclusive: bool,
    ) -> bool {
        let charge = self.charge(task);
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return false;
        };
        let on_trial = endpoint.is_quarantined(self.now);
        if on_trial {
            endpoint.quarantine.trial_begun(self.now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let Some(step) = job.spec.steps.get(task.step as usize) else {
            return false;
        };
        let resources = Resources::of_step(step);
        let long_running = step.long_running;
        let latency_sensitive = LatencyClass::of(job) == LatencyClass::Sensitive;
        if latency_sensitive {
            let headroom = self.headrooms.entry(job.queue.service.clone());
            headroom.or_default().note_start(resources);
        }
        let Some(progress) = job.step_progress_mut(task.step_key()) else {
            return false;
        };
        let Some(entry) = progress.tasks.begin(task.index) else {
            return false;
        };
        let resumed = !entry.checkpoint.is_empty();
        entry.state = TaskState::Placed(key, run);
        entry.last_run = run;
        progress.placed += 1;
        if !progress.stands(long_running) {
            progress.room_wait = RoomWait::default();
        }
        self.record_run(
            key,
            task,
            PlacedRun {
                run,
                phase,
                resources,
                charge,
                size_unknown: false,
                unanswered: 0,
                unseen: false,
                confirmed_ms: None,
                resumed,
                latency_sensitive,
                exclusive,
                on_trial,
            },
        );
        true
    }

    fn send_start(&mut self, order: StartOrder) {
        metrics::start();
        let endpoint = self.endpoints.get(order.endpoint);
        let born_ms = endpoint.and_then(|endpoint| endpoint.born_ms);
        self.start_ring
            .note(order.task, order.run, order.id.clone(), born_ms);
        let free_cpu_milli = endpoint.map_or(0, |endpoint| endpoint.free().cpu_milli);
        log::info!(
            task:% = order.task, run = order.run, endpoint:% = order.id, until_ms = order.until_ms,
            fence = order.fence, free_cpu_milli = free_cpu_milli, resumed = !order.checkpoint.is_empty(),
            configuration = self.config.version;
            "start ordered"
        );
        self.actions.push(Action::Start(order));
        self.record_resumption(ServiceMilestone::Started);
    }

    /// Orders the start of a run that is already placed. Returns false if that is not possible.
    pub(super) fn order_start(&mut self, key: EndpointKey, task: TaskKey, run: Run) -> bool {
        let Some(order) = self.deferred_start_order(key, task, run) else {
            return false;
        };
        self.send_start(order);
        true
    }

    /// Returns the order that starts a run, or none if no lease can be granted.
    fn start_order(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        run: Run,
        ticket: Option<Ticket>,
    ) -> Option<StartOrder> {
        let bound_ms = self.lease_bound_ms();
        let lease_ms = self.limits.lease_ms.min(self.limits.lease_max_ms);
        let job = self.jobs.get(&task.job)?;
        let checkpoint = job.task(task)?.checkpoint.clone();
        let endpoint = self.endpoints.get_mut(key)?;
        let fence = endpoint.fence(self.version)?;
        let until_ms = endpoint.leases.grant(self.now, lease_ms, bound_ms)?;
        Some(StartOrder {
            endpoint: key,
            id: endpoint.entry.id.clone(),
            address: endpoint.entry.address.clone(),
            task,
            run,
            spec: job.text.clone()?,
            until_ms,
            fence,
            checkpoint,
            ticket,
        })
    }

    /// Returns the order that starts a run placed earlier, if its endpoint still accepts it.
    fn deferred_start_order(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        run: Run,
    ) -> Option<StartOrder> {
        let job = self.jobs.get(&task.job)?;
        let progress = job.step_progress(task.step_key());
        let ticket = progress.and_then(|progress| progress.advice.ticket(key, self.now).cloned());
        let endpoint = self.endpoints.get(key)?;
        let silent = !endpoint.rostered || endpoint.is_silent(self.now, &self.limits);
        let shrunk =
            !endpoint.fits_all_runs() || !endpoint.capacity_is_known(self.now, &self.limits);
        if silent
            || shrunk
            || endpoint.is_leaving()
            || !self.evacuations_are_known()
            || !endpoint.entry_is_of_incarnation()
            || (job.queue.advice.is_some() && ticket.is_none())
        {
            return None;
        }
        self.start_order(key, task, run, ticket)
    }

    /// Resends a start that was not answered, with the same run number: the first copy to arrive
    /// starts the run, and the others find it there. Returns false if that is not possible.
    fn resend_start(&mut self, key: EndpointKey, task: TaskKey, run: Run) -> bool {
        let Some(order) = self.deferred_start_order(key, task, run) else {
            return false;
        };
        log::info!(task:% = task, run = run, endpoint:% = order.id; "start resent");
        self.actions.push(Action::Start(order));
        true
    }

    /// Returns the run of a task that is recorded on an endpoint, if it has this number.
    pub(super) fn placed_mut(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        run: Run,
    ) -> Option<&mut PlacedRun> {
        let placed = self.endpoints.get_mut(key)?.placed.get_mut(&task)?;
        (placed.run == run).then_some(placed)
    }

    pub(super) fn handle_start_answer(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        run: Run,
        answer: &StartAnswer,
    ) {
        let (now, copies) = (self.now, self.limits.start_copies);
        let Some(placed) = self.placed_mut(key, task, run) else {
            return;
        };
        match answer {
            StartAnswer::Accepted => {
                if placed.phase == RunPhase::Starting {
                    placed.phase = RunPhase::Running;
                    placed.confirmed_ms = Some(now);
                    self.note_run(task);
                }
                self.confirm_start(task);
            }
            StartAnswer::Refused(refusal) => self.handle_start_refusal(key, task, run, *refusal),
            StartAnswer::OtherIncarnation => self.give_up_replaced_endpoint(key),
            StartAnswer::Unanswered => {
                metrics::unanswered("start");
                if placed.phase != RunPhase::Starting {
                    return;
                }
                placed.unanswered += 1;
                let again = placed.unanswered < copies;
                if again && self.resend_start(key, task, run) {
                    return;
                }
                let endpoint = &mut self.endpoints[key];
                endpoint.paused_until_ms = self.now + self.limits.start_pause_ms;
                log::info!(task:% = task, run = run, endpoint:% = endpoint.entry.id; "start not answered, withdrawing the run");
                self.begin_stop(key, task, run);
                self.abort_if_gang(task);
            }
        }
    }

    /// Records that a task of a job has started. Until an order is answered, callers are told that
    /// the job waits.
    pub(super) fn confirm_start(&mut self, task: TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !std::mem::replace(&mut job.started, true) {
            let waited_ms = self.now.saturating_sub(job.accepted_ms);
            metrics::first_start(job.queue.priority, waited_ms);
            self.note_first_start(task.job);
        }
    }

    fn handle_start_refusal(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        run: Run,
        refusal: Refusal,
    ) {
        log::info!(task:% = task, run = run, endpoint:% = self.endpoints[key].entry.id, refusal:? = refusal; "start refused");
        metrics::start_refused(refusal);
        if refusal == Refusal::Fence {
            self.step_down(StepDownReason::Fenced);
            return;
        }
        let unanswered = self.endpoints[key]
            .placed
            .get(&task)
            .map_or(0, |placed| placed.unanswered);
        if unanswered > 0 {
            // An earlier copy may have been executed or may still be.
            self.begin_stop(key, task, run);
            self.abort_if_gang(task);
            return;
        }
        self.release_run(key, task);
        let pause_ms = self.limits.start_pause_ms;
        match refusal {
            Refusal::Ticket => self.note_refused_ticket(task.step_key(), key),
            Refusal::Old => {}
            _ => self.endpoints[key].paused_until_ms = self.now + pause_ms,
        }
        self.requeue(task, key, run);
    }

    fn abort_if_gang(&mut self, task: TaskKey) {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.spec.steps.get(task.step as usize));
        if step.is_some_and(|step| step.gang) {
            self.abort_gang(task.step_key());
        }
    }

    /// Marks a run to be stopped. Its resources stay reserved until its end is known.
    pub(super) fn begin_stop(&mut self, key: EndpointKey, task: TaskKey, run: Run) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let Some(placed) = endpoint
            .placed
            .get_mut(&task)
            .filter(|placed| placed.run == run)
        else {
            return;
        };
        match placed.phase {
            RunPhase::Stopping { .. } => return,
            RunPhase::Announced => {
                // The start was never sent.
                self.release_run(key, task);
                self.requeue(task, key, run);
                return;
            }
            RunPhase::Starting | RunPhase::Running => {}
        }
        placed.phase = RunPhase::Stopping {
            sent_ms: None,
            taken_ms: None,
        };
        self.stopping.insert(key, task);
    }

    pub(super) fn send_stops(&mut self) {
        let retry_ms = self.limits.stop_retry_ms;
        for (key, task) in self.stopping.iter() {
            let Some(endpoint) = self.endpoints.get_mut(key) else {
                continue;
            };
            let Some(fence) = endpoint.fence(self.version) else {
                continue;
            };
            let Some(placed) = endpoint.placed.get_mut(&task) else {
                continue;
            };
            let RunPhase::Stopping { sent_ms, taken_ms } = &mut placed.phase else {
                continue;
            };
            let waiting = sent_ms.is_some_and(|sent| self.now.saturating_sub(sent) < retry_ms);
            if taken_ms.is_some() || waiting {
                continue;
            }
            *sent_ms = Some(self.now);
            self.actions.push(Action::Stop(StopOrder {
                endpoint: key,
                id: endpoint.entry.id.clone(),
                address: endpoint.entry.address.clone(),
                task,
                run: placed.run,
                fence,
            }));
        }
    }

    pub(super) fn handle_stop_answer(
        &mut self,
        key: EndpointKey,
        task: TaskKey,
        run: Run,
        answer: &StopAnswer,
    ) {
        let now = self.now;
        let Some(placed) = self.placed_mut(key, task, run) else {
            return;
        };
        match answer {
            StopAnswer::Accepted => {
                if let RunPhase::Stopping { taken_ms, .. } = &mut placed.phase {
                    *taken_ms = Some(now);
                }
            }
            StopAnswer::Fenced => self.step_down(StepDownReason::Fenced),
            StopAnswer::OtherIncarnation => self.give_up_replaced_endpoint(key),
            // Resent by `send_stops`.
            StopAnswer::Refused | StopAnswer::Unanswered => {}
        }
    }
}
