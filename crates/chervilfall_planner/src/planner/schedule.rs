//! Offers room to steps that wait, best rank first.

use std::collections::BTreeMap;

use crate::config::AdviceTerms;
use crate::endpoint::{EndpointKey, Room};
use crate::event::Ticket;
use crate::ids::Run;
use crate::job::Step;
use crate::planner::Planner;
use crate::policy::placement::{pick, pick_all, Offer};
use crate::tasks::{StepKey, TaskState};

impl Planner {
    pub(super) fn schedule(&mut self) {
        if self.now >= self.cover_until_ms() {
            return;
        }
        let keys: Vec<StepKey> = self.open.iter().map(|(_, key)| *key).collect();
        for key in keys {
            self.serve_step(key);
        }
    }

    fn serve_step(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(key.step as usize).cloned() else {
            return;
        };
        let advice = job.queue.advice;
        let service = job.queue.service.clone();
        let inherited = job.inherited;
        let Some(progress) = job.step_progress(key) else {
            return;
        };
        if step.gang && progress.placed > 0 {
            if self.barrier.is_none() {
                self.abort_gang(key);
            }
            return;
        }
        let mut offers = self.offers(key, &step, &service, advice.is_some());
        if !(inherited && self.barrier.is_some()) {
            self.place_step(key, &step, &mut offers, advice.is_some());
        }
        if let Some(terms) = advice {
            self.ask_for_step(key, &step, &service, terms);
        }
    }

    /// Returns the endpoints that the step may use now.
    fn offers(&self, key: StepKey, step: &Step, service: &str, advised: bool) -> Vec<Offer> {
        let Some(progress) = self.jobs.get(&key.job).and_then(|job| job.step_progress(key)) else {
            return Vec::new();
        };
        let need = Room::of_step(step);
        let usable = self.endpoints.iter().filter(|(endpoint_key, endpoint)| {
            endpoint.entry.service == service
                && endpoint.takes_work(self.now, &self.limits)
                && endpoint.free().holds(need)
                && (!advised || progress.advice.ticket(*endpoint_key, self.now).is_some())
                && step
                    .required_label
                    .as_ref()
                    .is_none_or(|label| endpoint.entry.labels.contains(label))
        });
        let offers = usable.map(|(endpoint_key, endpoint)| {
            let range = key.task(0)..=key.task(u32::MAX);
            let most = match step.max_per_endpoint {
                0 => endpoint.most(self.now),
                most => {
                    let there = endpoint.placed.range(range).count();
                    let left = most.saturating_sub(u32::try_from(there).unwrap_or(u32::MAX));
                    left.min(endpoint.most(self.now))
                }
            };
            Offer {
                endpoint: endpoint_key,
                free: endpoint.free(),
                most,
                failed: progress.failed_on.contains(&endpoint_key),
                near: step
                    .affinity
                    .as_ref()
                    .is_none_or(|rack| endpoint.entry.rack.as_ref() == Some(rack)),
            }
        });
        offers.collect()
    }

    fn place_step(&mut self, key: StepKey, step: &Step, offers: &mut [Offer], advised: bool) {
        let need = Room::of_step(step);
        let Some(progress) = self.jobs.get(&key.job).and_then(|job| job.step_progress(key)) else {
            return;
        };
        let waiting = progress.waiting();
        let picks = if step.gang {
            self.pick_gang(step, offers, need, waiting)
        } else {
            pick(offers, need, waiting)
        };
        if picks.is_empty() {
            return;
        }
        let Some(progress) = self.jobs.get(&key.job).and_then(|job| job.step_progress(key)) else {
            return;
        };
        let tasks = (0_u32..).zip(&progress.tasks);
        let waiting: Vec<(u32, Run)> = tasks
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, task)| (index, task.last_run))
            .collect();
        let gang_run = waiting.iter().map(|(_, last)| *last).max().unwrap_or(0);
        let mut starts: Vec<(EndpointKey, u32, Run, Option<Ticket>)> = Vec::new();
        for ((index, last), endpoint) in waiting.into_iter().zip(picks) {
            let last = if step.gang { gang_run } else { last };
            let ticket = progress.advice.ticket(endpoint, self.now).cloned();
            starts.push((endpoint, index, self.next_run(last), ticket));
        }
        if step.gang {
            self.share_checkpoint(key);
        }
        for (endpoint, index, run, ticket) in starts {
            debug_assert!(!advised || ticket.is_some());
            self.start(endpoint, key.task(index), run, ticket);
        }
        let left = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.step_progress(key))
            .map_or(0, |progress| progress.waiting());
        if left == 0 {
            self.close_step(key);
        }
    }

    /// Picks endpoints for a gang: on one rack if that matters and is possible.
    fn pick_gang(&self, step: &Step, offers: &mut [Offer], need: Room, count: u32) -> Vec<EndpointKey> {
        if step.same_rack {
            let mut racks: BTreeMap<Option<&String>, Vec<Offer>> = BTreeMap::new();
            for offer in offers.iter() {
                let rack = self.endpoints[offer.endpoint].entry.rack.as_ref();
                racks.entry(rack).or_default().push(offer.clone());
            }
            let picks = racks.values_mut().find_map(|offers| pick_all(offers, need, count));
            if let Some(picks) = picks {
                return picks;
            }
        }
        pick_all(offers, need, count).unwrap_or_default()
    }

    /// All members of a gang resume from the same checkpoint.
    fn share_checkpoint(&mut self, key: StepKey) {
        let Some(progress) = self.jobs.get_mut(&key.job).and_then(|job| job.step_progress_mut(key)) else {
            return;
        };
        let newest = progress.tasks.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
        for task in &mut progress.tasks {
            task.checkpoint.clone_from(&newest);
        }
    }

    /// Asks about endpoints that are not known for the step yet, or refreshes tickets of allowed
    /// ones that have room now.
    fn ask_for_step(&mut self, key: StepKey, step: &Step, service: &str, terms: AdviceTerms) {
        let Some(progress) = self.jobs.get(&key.job).and_then(|job| job.step_progress(key)) else {
            return;
        };
        if progress.advice.asking.is_some() || progress.waiting() == 0 {
            return;
        }
        let need = Room::of_step(step);
        let candidates = self.by_room(service, need);
        let unknown: Vec<EndpointKey> = candidates
            .iter()
            .filter(|endpoint| !progress.advice.known(**endpoint))
            .copied()
            .collect();
        if !unknown.is_empty() {
            self.ask(key, terms, &unknown);
            return;
        }
        let with_room: Vec<EndpointKey> = candidates
            .into_iter()
            .filter(|endpoint| progress.advice.allowed(*endpoint))
            .filter(|endpoint| self.endpoints[*endpoint].free().holds(need))
            .collect();
        let stale = with_room.iter().any(|endpoint| progress.advice.ticket(*endpoint, self.now).is_none());
        let fits: u64 = with_room
            .iter()
            .map(|endpoint| u64::from(self.endpoints[*endpoint].free().fits(need)))
            .sum();
        let enough = if step.gang { u64::from(progress.waiting()) } else { 1 };
        if stale && fits >= enough {
            self.ask(key, terms, &with_room);
        }
    }
}
