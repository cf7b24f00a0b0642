//! Claims of keys for non-idempotent calls, and acceptance and cancellation of jobs.

use chervilfall_types::{
    Answer, EntryId, EntryIncarnation, Phase, Reason, Request, RequestKey, Verdict,
};
use chervilfall_wire::{ClaimAnswer, PeerMessage, RequestDigest};

use crate::context::Context;
use crate::ledger::job::Job;
use crate::ledger::record::Record;
use crate::ledger::shard::{Claim, Pending, Shard, STORE_RETRY_AFTER_MS};
use crate::ledger::{Ledger, LedgerSurroundings};
use crate::policy::route::{self, RouteScope};
use crate::policy::shard_map::digest;

impl Ledger {
    /// Claims the key of a non-idempotent call, unless it was claimed before.
    pub(crate) fn claim(
        &mut self,
        context: &mut Context<'_>,
        from: EntryId,
        key: RequestKey,
        digest: RequestDigest,
        by: EntryIncarnation,
    ) {
        let reachable = self.reachable;
        let Some(shard) = self.serving(context, &key) else {
            let reason = Reason::StoreUnavailable;
            context.send(from, PeerMessage::NotHolder { key, reason });
            return;
        };
        let refusal = |reason, retry_after_ms| ClaimAnswer::Refused {
            reason,
            retry_after_ms,
        };
        let answer = match shard.claims.get(&key) {
            Some(claim) if claim.digest == digest => ClaimAnswer::Taken {
                by: claim.by,
                answer: claim.outcome.clone().map(Box::new),
            },
            Some(_) => refusal(Reason::DuplicateKey, None),
            None if shard.jobs.contains_key(&key) => refusal(Reason::DuplicateKey, None),
            None if !reachable || shard.is_doubtful() => {
                refusal(Reason::StoreUnavailable, Some(STORE_RETRY_AFTER_MS))
            }
            None => {
                shard.take_claim(from, key, digest, by);
                return;
            }
        };
        context.send(from, PeerMessage::Claimed { key, answer });
    }

    /// Keeps the outcome of a claimed call; one that did not run frees its key.
    ///
    /// Only the instance whose claim it is may speak, and the first outcome stands.
    pub(crate) fn record(
        &mut self,
        context: &mut Context<'_>,
        from: EntryId,
        by: EntryIncarnation,
        answer: &Answer,
    ) {
        let key = answer.key.clone();
        // A holder that was replaced may lack the claim.
        let authoritative = self.is_authoritative(context, &key);
        let Some(shard) = self.serving(context, &key) else {
            return;
        };
        let recorded = PeerMessage::Recorded(key.clone());
        match shard.claims.get_mut(&key) {
            Some(claim) if claim.by == by && claim.outcome.is_none() => {
                let then = vec![(from, recorded)];
                if answer.verdict == Some(Verdict::NotRun) {
                    shard.claims.remove(&key);
                    shard.push(Record::Released { key: key.clone() }, then);
                } else {
                    claim.outcome = Some(answer.clone());
                    shard.push(Record::Outcome(answer.clone()), then);
                }
                self.notify_watchers(context, &key, answer);
            }
            Some(claim) if claim.by == by && !shard.image.has_outcome(&key) => {
                // The first word is on its way into the log, and is confirmed when it is there.
            }
            Some(_) | None if authoritative => context.send(from, recorded),
            Some(_) | None => {}
        }
    }

    /// Accepts a job durably, or refuses it at once.
    pub(crate) fn accept(
        &mut self,
        context: &mut Context<'_>,
        around: &mut LedgerSurroundings<'_>,
        from: EntryId,
        request: Request,
    ) {
        let reachable = self.reachable;
        let digest = digest(&request);
        let key = request.key.clone();
        let Some(shard) = self.serving(context, &key) else {
            let reason = Reason::StoreUnavailable;
            context.send(from, PeerMessage::NotHolder { key, reason });
            return;
        };
        if let Some(job) = shard.jobs.get(&key) {
            if job.digest == digest && !job.durable {
                shard.add_listener(&key, from);
                return;
            }
            let answer = if job.digest == digest {
                job.answer(&key, context.now)
            } else {
                Answer::not_run(key, Reason::DuplicateKey, None)
            };
            context.send(from, PeerMessage::Accepted(Box::new(answer)));
            return;
        }
        if shard.claims.contains_key(&key) {
            let answer = Answer::not_run(key, Reason::DuplicateKey, None);
            context.send(from, PeerMessage::Accepted(Box::new(answer)));
            return;
        }
        if !reachable || shard.is_doubtful() {
            let retry = Some(STORE_RETRY_AFTER_MS);
            let answer = Answer::not_run(key, Reason::StoreUnavailable, retry);
            context.send(from, PeerMessage::Accepted(Box::new(answer)));
            return;
        }
        let scope = RouteScope {
            me: context.me(),
            domain: None,
            avoid: None,
        };
        let owner = route::choose(around.members, scope, &request.work.resources, around.rng);
        let domain = owner
            .and_then(|owner| around.members.get(owner))
            .map_or_else(|| context.identity.domain.clone(), |m| m.domain.clone());
        let job = Job::new(request.clone(), digest, domain.clone(), context.now);
        shard.jobs.insert(key.clone(), job);
        let record = Record::Accepted {
            request,
            digest,
            domain,
        };
        let accepted = Answer::pending(key, Phase::Accepted);
        let then = vec![(from, PeerMessage::Accepted(Box::new(accepted)))];
        shard.push(record, then);
    }

    /// Cancels a job: tasks that wait end at once, those that may run are withdrawn.
    pub(crate) fn cancel(&mut self, context: &mut Context<'_>, key: &RequestKey) {
        let Some(shard) = self.serving(context, key) else {
            return;
        };
        let Some(job) = shard.jobs.get_mut(key) else {
            return;
        };
        if job.cancelled || job.is_final() {
            return;
        }
        job.cancelled = true;
        job.note(context.now, "Cancelled.".to_owned());
        for (owner, attempt) in job.attempts_out() {
            context.send(owner, PeerMessage::Withdraw(attempt));
        }
        let ended = job.end_waiting();
        let key = key.clone();
        shard.push(Record::Cancelled { key, ended }, Vec::new());
    }
}

impl Shard {
    /// Returns whether the outcome of the commit on its way is unknown.
    fn is_doubtful(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|f| f.doubted)
    }

    fn take_claim(
        &mut self,
        from: EntryId,
        key: RequestKey,
        digest: RequestDigest,
        by: EntryIncarnation,
    ) {
        let claim = Claim {
            digest,
            by,
            outcome: None,
        };
        self.claims.insert(key.clone(), claim);
        let granted = PeerMessage::Claimed {
            key: key.clone(),
            answer: ClaimAnswer::Granted,
        };
        self.push(Record::Claimed { key, digest, by }, vec![(from, granted)]);
    }

    /// Has another instance told when a job's acceptance is durable.
    fn add_listener(&mut self, key: &RequestKey, to: EntryId) {
        let in_flight = self.in_flight.iter_mut().flat_map(|f| f.pending.iter_mut());
        let accepts = |pending: &&mut Pending| matches!(&pending.record, Record::Accepted { request, .. } if request.key == *key);
        if let Some(pending) = self.pending.iter_mut().chain(in_flight).find(accepts) {
            let answer = Answer::pending(key.clone(), Phase::Accepted);
            let message = PeerMessage::Accepted(Box::new(answer));
            pending.then.push((to, message));
        }
    }

    /// Takes back the trace of a request whose record was surely not written.
    pub(super) fn forget_request(&mut self, record: &Record) {
        match record {
            Record::Claimed { key, .. } => {
                self.claims.remove(key);
            }
            Record::Accepted { request, .. } => {
                self.jobs.remove(&request.key);
            }
            _ => {}
        }
    }

    /// Counts a record of a job as durable; returns the job's key if that settles it.
    pub(super) fn settled_by(&mut self, record: &Record) -> Option<RequestKey> {
        let key = record.job_key()?;
        let job = self.jobs.get_mut(key)?;
        job.unwritten = job.unwritten.saturating_sub(1);
        job.is_settled().then(|| key.clone())
    }

    /// Carries out what a record allows once it is durable.
    pub(super) fn apply_durable(&mut self, context: &Context<'_>, record: &Record) {
        match record {
            Record::Accepted { request, .. } => {
                if let Some(job) = self.jobs.get_mut(&request.key) {
                    job.durable = true;
                    job.note(context.now, "Accepted durably.".to_owned());
                    job.all_ready();
                    self.ready.insert(request.key.clone());
                }
            }
            Record::Dispatched { key, tasks } => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.dispatch_logged(tasks);
                    self.ready.insert(key.clone());
                }
            }
            _ => {}
        }
    }
}
