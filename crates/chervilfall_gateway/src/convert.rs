//! Conversion between the RPC's types and those of the core, with checks that name the field.

use chervilfall_core::{
    BurnRow, ConfigurationDocument, EndpointPhase, EndpointReport, InstanceReport, Objective,
    PeerReport, Quota, RequestReport,
};
use chervilfall_schema as rpc;
use chervilfall_settings::RpcLimits;
use chervilfall_types::{
    Answer, EndpointName, EntryId, Phase, Priority, Reason, Request, RequestKey, Resources,
    ServiceName, TaskCounts, TeamName, Verdict, Work, WorkClass,
};

use crate::refusal::Refusal;

/// What a call holds while it runs: one slot and one connection of the service.
const CALL_RESOURCES: Resources = Resources {
    processors_milli: 0,
    memory_mib: 0,
    accelerators: 0,
    slots: 1,
    connections: 1,
};

/// Allowed names, in words.
const NAME: &str = "1 to 128 characters of A-Z, a-z, 0-9, '.', '_', ':' and '-'";

/// Returns the checked request.
pub(crate) fn request(
    limits: &RpcLimits,
    submitted: rpc::SubmitRequest,
) -> Result<Request, Refusal> {
    let deadline_ms = submitted.deadline_ms.get();
    if deadline_ms > limits.max_deadline_ms {
        let allowed = format!("1 to {}", limits.max_deadline_ms);
        return Err(Refusal::field("deadline_ms", "is too long", &allowed));
    }
    Ok(Request {
        key: key(&submitted.key)?,
        team: TeamName::new(&submitted.team).map_err(|_| bad_name("team"))?,
        deadline_ms,
        work: work(limits, submitted.work)?,
    })
}

/// Returns the checked key of a request.
pub(crate) fn key(text: &str) -> Result<RequestKey, Refusal> {
    RequestKey::new(text).map_err(|_| bad_name("key"))
}

fn bad_name(field: &str) -> Refusal {
    Refusal::field(field, "is not a name", NAME)
}

fn work(limits: &RpcLimits, work: rpc::Work) -> Result<Work, Refusal> {
    match work {
        rpc::Work::Call(call) => {
            let service =
                ServiceName::new(&call.service).map_err(|_| bad_name("work.call.service"))?;
            Ok(Work {
                class: WorkClass::Call,
                tasks: 1,
                service: Some(service),
                resources: CALL_RESOURCES,
                run_ms: call.run_ms.unwrap_or(0),
                priority: Priority::Normal,
                idempotent: call.idempotent,
                payload: call.payload.unwrap_or_default(),
            })
        }
        rpc::Work::Batch(job) => job_work(limits, WorkClass::Batch, "work.batch", job),
        rpc::Work::Gang(job) => job_work(limits, WorkClass::Gang, "work.gang", job),
        rpc::Work::Service(service) => Ok(Work {
            class: WorkClass::Service,
            tasks: count(limits, "work.service.replicas", service.replicas.get())?,
            service: None,
            resources: held("work.service.resources", &service.resources)?,
            run_ms: 0,
            priority: Priority::Normal,
            idempotent: true,
            payload: service.payload.unwrap_or_default(),
        }),
    }
}

fn job_work(
    limits: &RpcLimits,
    class: WorkClass,
    field: &str,
    job: rpc::JobWork,
) -> Result<Work, Refusal> {
    Ok(Work {
        class,
        tasks: count(limits, &format!("{field}.tasks"), job.tasks.get())?,
        service: None,
        resources: held(&format!("{field}.resources"), &job.resources)?,
        run_ms: job.run_ms.unwrap_or(0),
        priority: match job.priority {
            Some(rpc::Priority::Urgent) => Priority::Urgent,
            Some(rpc::Priority::Low) => Priority::Low,
            Some(rpc::Priority::Normal) | None => Priority::Normal,
        },
        idempotent: job.idempotent,
        payload: job.payload.unwrap_or_default(),
    })
}

fn count(limits: &RpcLimits, field: &str, count: u64) -> Result<u32, Refusal> {
    u32::try_from(count)
        .ok()
        .filter(|count| *count <= limits.max_tasks)
        .ok_or_else(|| {
            let allowed = format!("1 to {}", limits.max_tasks);
            Refusal::field(field, &format!("is {count}"), &allowed)
        })
}

/// Returns the resources of a task, which must hold something so that placements are bounded.
fn held(field: &str, resources: &rpc::Resources) -> Result<Resources, Refusal> {
    let resources = from_resources(resources);
    if resources == Resources::default() {
        let allowed = "more than zero of at least one resource";
        return Err(Refusal::field(field, "is empty", allowed));
    }
    Ok(resources)
}

const fn from_resources(resources: &rpc::Resources) -> Resources {
    Resources {
        processors_milli: resources.processors_milli,
        memory_mib: resources.memory_mib,
        accelerators: resources.accelerators,
        slots: resources.slots,
        connections: resources.connections,
    }
}

const fn to_resources(resources: Resources) -> rpc::Resources {
    rpc::Resources {
        processors_milli: resources.processors_milli,
        memory_mib: resources.memory_mib,
        accelerators: resources.accelerators,
        slots: resources.slots,
        connections: resources.connections,
    }
}

/// Returns an answer as the RPC says it.
pub(crate) fn answer(answer: Answer, served_by: EntryId) -> rpc::Answer {
    rpc::Answer {
        key: answer.key.as_str().to_owned(),
        phase: to_phase(answer.phase),
        verdict: answer.verdict.map(to_verdict),
        reason: answer.reason.map(to_reason),
        message: answer.reason.map(|reason| describe(reason).to_owned()),
        result: answer.result,
        retry_after_ms: answer.retry_after_ms,
        tasks: answer.tasks.map(to_counts),
        waited_ms: answer.waited_ms,
        endpoint: answer.endpoint.map(|name| name.as_str().to_owned()),
        served_by: u64::from(served_by.0),
    }
}

const fn to_phase(phase: Phase) -> rpc::Phase {
    match phase {
        Phase::Queued => rpc::Phase::Queued,
        Phase::Accepted => rpc::Phase::Accepted,
        Phase::Running => rpc::Phase::Running,
        Phase::Done => rpc::Phase::Done,
        Phase::Refused => rpc::Phase::Refused,
        Phase::Cancelled => rpc::Phase::Cancelled,
        Phase::Unknown => rpc::Phase::Unknown,
    }
}

const fn to_verdict(verdict: Verdict) -> rpc::Verdict {
    match verdict {
        Verdict::NotRun => rpc::Verdict::NotRun,
        Verdict::MayHaveRun => rpc::Verdict::MayHaveRun,
        Verdict::Ran => rpc::Verdict::Ran,
    }
}

const fn to_reason(reason: Reason) -> rpc::Reason {
    match reason {
        Reason::Overloaded => rpc::Reason::Overloaded,
        Reason::Deadline => rpc::Reason::Deadline,
        Reason::StoreUnavailable => rpc::Reason::StoreUnavailable,
        Reason::NoEndpoint => rpc::Reason::NoEndpoint,
        Reason::Impossible => rpc::Reason::Impossible,
        Reason::UnknownService => rpc::Reason::UnknownService,
        Reason::OverQuota => rpc::Reason::OverQuota,
        Reason::Cancelled => rpc::Reason::Cancelled,
        Reason::Stopping => rpc::Reason::Stopping,
        Reason::EndpointFailed => rpc::Reason::EndpointFailed,
        Reason::AttemptLost => rpc::Reason::AttemptLost,
        Reason::DuplicateKey => rpc::Reason::DuplicateKey,
        Reason::UnknownKey => rpc::Reason::UnknownKey,
        Reason::Invalid => rpc::Reason::Invalid,
        Reason::RetryBudget => rpc::Reason::RetryBudget,
        Reason::TaskFailed => rpc::Reason::TaskFailed,
    }
}

const fn describe(reason: Reason) -> &'static str {
    match reason {
        Reason::Overloaded => "more work is offered than can be served",
        Reason::Deadline => "the deadline passed",
        Reason::StoreUnavailable => "the platform's table can't be reached",
        Reason::NoEndpoint => "no endpoint can be reached for now",
        Reason::Impossible => "no endpoint could ever hold this work",
        Reason::UnknownService => "no endpoint runs this service",
        Reason::OverQuota => "the team's quota is used up",
        Reason::Cancelled => "cancelled",
        Reason::Stopping => "this entry instance is stopping; ask another",
        Reason::EndpointFailed => "the endpoint could not run the work",
        Reason::AttemptLost => "contact with the attempt was lost",
        Reason::DuplicateKey => "the key was used before for another request",
        Reason::UnknownKey => "no request with this key is known",
        Reason::Invalid => "the request is malformed",
        Reason::RetryBudget => "too many attempts fail to try again",
        Reason::TaskFailed => "a task ended with an error",
    }
}

fn to_counts(counts: TaskCounts) -> rpc::TaskCounts {
    rpc::TaskCounts {
        waiting: u64::from(counts.waiting),
        running: u64::from(counts.running),
        ran: u64::from(counts.ran),
        failed: u64::from(counts.failed),
    }
}

/// Returns a list of requests as the RPC says it.
pub(crate) fn requests(reports: Vec<RequestReport>) -> rpc::RequestList {
    let summary = |report: RequestReport| rpc::RequestSummary {
        key: report.key.as_str().to_owned(),
        team: report.team.as_str().to_owned(),
        kind: report.class.to_owned(),
        phase: to_phase(report.phase),
        verdict: report.verdict.map(to_verdict),
        tasks: report.tasks.map(to_counts),
    };
    rpc::RequestList {
        requests: reports.into_iter().map(summary).collect(),
    }
}

/// Returns the status of an instance as the RPC says it.
pub(crate) fn status(report: &InstanceReport) -> rpc::InstanceStatus {
    rpc::InstanceStatus {
        entry: u64::from(report.entry.0),
        domain: report.domain.as_str().to_owned(),
        ready: report.ready,
        stopping: report.stopping,
        uptime_ms: report.uptime_ms,
        config_version: report.config_version,
        config_age_ms: report.config_age_ms,
        store_reachable: report.store_reachable,
        shards: report
            .shards
            .iter()
            .map(|shard| u64::from(shard.0))
            .collect(),
        queued: report.queued,
        endpoints: report.endpoints.iter().map(endpoint).collect(),
        peers: report.peers.iter().map(peer).collect(),
    }
}

fn endpoint(report: &EndpointReport) -> rpc::EndpointStatus {
    rpc::EndpointStatus {
        name: report.name.as_str().to_owned(),
        domain: report.domain.as_str().to_owned(),
        rack: report.rack.as_str().to_owned(),
        state: match report.phase {
            EndpointPhase::Unowned => rpc::EndpointStatusState::Unowned,
            EndpointPhase::Claiming => rpc::EndpointStatusState::Claiming,
            EndpointPhase::Syncing => rpc::EndpointStatusState::Syncing,
            EndpointPhase::Owned => rpc::EndpointStatusState::Owned,
            EndpointPhase::Draining => rpc::EndpointStatusState::Draining,
            EndpointPhase::Unreachable => rpc::EndpointStatusState::Unreachable,
        },
        capacity: to_resources(report.capacity),
        reserved: to_resources(report.reserved),
        attempts: report.attempts,
        epoch: report.epoch,
    }
}

fn peer(report: &PeerReport) -> rpc::PeerStatus {
    rpc::PeerStatus {
        entry: u64::from(report.entry.0),
        domain: report.domain.as_str().to_owned(),
        connected: report.connected,
        queued: Some(report.queued),
    }
}

/// Returns the burn of every objective as the RPC says it.
pub(crate) fn burn(rows: Vec<BurnRow>, entry: EntryId) -> rpc::BurnReport {
    let row = |row: BurnRow| rpc::BurnRow {
        class: row.class.to_owned(),
        requests: row.requests,
        bad: row.bad,
        burn_short_permille: row.burn_short_permille,
        burn_long_permille: row.burn_long_permille,
        budget_left_permille: row.budget_left_permille,
        page: row.page,
    };
    rpc::BurnReport {
        entry: u64::from(entry.0),
        rows: rows.into_iter().map(row).collect(),
    }
}

/// Returns the configuration as the RPC says it.
pub(crate) fn configuration(document: &ConfigurationDocument) -> rpc::Configuration {
    let quota = |quota: &Quota| rpc::Quota {
        team: quota.team.as_str().to_owned(),
        weight: std::num::NonZeroU64::new(quota.weight),
        resources: Some(to_resources(quota.resources)),
    };
    let objective = |objective: &Objective| rpc::Objective {
        class: match objective.class {
            WorkClass::Call => rpc::ObjectiveClass::Call,
            WorkClass::Batch => rpc::ObjectiveClass::Batch,
            WorkClass::Gang => rpc::ObjectiveClass::Gang,
            WorkClass::Service => rpc::ObjectiveClass::Service,
        },
        success_permille: objective.success_permille,
        wait_ms: std::num::NonZeroU64::new(objective.wait_ms).unwrap_or(std::num::NonZeroU64::MIN),
    };
    rpc::Configuration {
        version: document.version,
        quotas: document.quotas.iter().map(quota).collect(),
        objectives: document.objectives.iter().map(objective).collect(),
        drained: document
            .drained
            .iter()
            .map(|name| name.as_str().to_owned())
            .collect(),
    }
}

/// Returns the checked configuration.
pub(crate) fn document(given: &rpc::Configuration) -> Result<ConfigurationDocument, Refusal> {
    let mut document = ConfigurationDocument {
        version: given.version,
        ..ConfigurationDocument::default()
    };
    for (index, quota) in given.quotas.iter().enumerate() {
        let team =
            TeamName::new(&quota.team).map_err(|_| bad_name(&format!("quotas[{index}].team")))?;
        document.quotas.push(Quota {
            team,
            weight: quota.weight.map_or(1, std::num::NonZeroU64::get),
            resources: quota
                .resources
                .as_ref()
                .map_or_else(Resources::default, from_resources),
        });
    }
    for (index, objective) in given.objectives.iter().enumerate() {
        if objective.success_permille > 1_000 {
            let field = format!("objectives[{index}].success_permille");
            return Err(Refusal::field(&field, "is too large", "0 to 1000"));
        }
        document.objectives.push(Objective {
            class: match objective.class {
                rpc::ObjectiveClass::Call => WorkClass::Call,
                rpc::ObjectiveClass::Batch => WorkClass::Batch,
                rpc::ObjectiveClass::Gang => WorkClass::Gang,
                rpc::ObjectiveClass::Service => WorkClass::Service,
            },
            success_permille: objective.success_permille,
            wait_ms: objective.wait_ms.get(),
        });
    }
    for (index, name) in given.drained.iter().enumerate() {
        let name = EndpointName::new(name).map_err(|_| bad_name(&format!("drained[{index}]")))?;
        document.drained.push(name);
    }
    Ok(document)
}
