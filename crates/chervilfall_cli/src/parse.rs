//! Requests from arguments.

use std::fs::File;
use std::num::NonZeroU64;

use anyhow::{bail, Context};
use chervilfall_schema::{
    CallWork, JobWork, Priority, Resources, ServiceWork, SubmitRequest, Work,
};

use crate::args::{BatchArgs, CallArgs, GangArgs, ServiceArgs, WorkArgs};

/// Returns the request that the arguments say.
///
/// # Errors
///
/// Returns an error that names the argument that is wrong.
pub(crate) fn request(work: WorkArgs) -> anyhow::Result<SubmitRequest> {
    match work {
        WorkArgs::Call(args) => call(args),
        WorkArgs::Batch(args) => batch(args),
        WorkArgs::Gang(args) => gang(args),
        WorkArgs::Service(args) => service(args),
        WorkArgs::File(args) => {
            let path = args.path;
            let file =
                File::open(&path).with_context(|| format!("can't read {}", path.display()))?;
            serde_json::from_reader(file).with_context(|| format!("in {}", path.display()))
        }
    }
}

fn call(args: CallArgs) -> anyhow::Result<SubmitRequest> {
    let work = Work::Call(CallWork {
        service: args.service,
        idempotent: args.idempotent,
        payload: Some(args.payload),
        run_ms: args.run_ms,
    });
    submit(args.key, args.team, args.deadline_ms, work)
}

fn batch(args: BatchArgs) -> anyhow::Result<SubmitRequest> {
    let work = Work::Batch(JobWork {
        tasks: positive("--tasks", args.tasks)?,
        resources: resources(args.processors_milli, args.memory_mib, args.accelerators),
        run_ms: args.run_ms,
        priority: priority(args.priority.as_deref())?,
        idempotent: !args.once,
        payload: Some(args.payload),
    });
    submit(args.key, args.team, args.deadline_ms, work)
}

fn gang(args: GangArgs) -> anyhow::Result<SubmitRequest> {
    let work = Work::Gang(JobWork {
        tasks: positive("--tasks", args.tasks)?,
        resources: resources(args.processors_milli, args.memory_mib, args.accelerators),
        run_ms: args.run_ms,
        priority: priority(args.priority.as_deref())?,
        idempotent: !args.once,
        payload: Some(args.payload),
    });
    submit(args.key, args.team, args.deadline_ms, work)
}

fn service(args: ServiceArgs) -> anyhow::Result<SubmitRequest> {
    let work = Work::Service(ServiceWork {
        replicas: positive("--replicas", args.replicas)?,
        resources: resources(args.processors_milli, args.memory_mib, 0),
        payload: Some(args.payload),
    });
    submit(args.key, args.team, args.deadline_ms, work)
}

fn submit(
    key: Option<String>,
    team: String,
    deadline_ms: u64,
    work: Work,
) -> anyhow::Result<SubmitRequest> {
    Ok(SubmitRequest {
        key: key.unwrap_or_else(|| format!("cli-{:016x}", rand::random::<u64>())),
        team,
        deadline_ms: positive("--deadline-ms", deadline_ms)?,
        wait_ms: None,
        work,
    })
}

fn positive(argument: &str, value: u64) -> anyhow::Result<NonZeroU64> {
    NonZeroU64::new(value).with_context(|| format!("{argument} must be at least 1"))
}

const fn resources(processors_milli: u64, memory_mib: u64, accelerators: u64) -> Resources {
    Resources {
        processors_milli,
        memory_mib,
        accelerators,
        slots: 0,
        connections: 0,
    }
}

fn priority(text: Option<&str>) -> anyhow::Result<Option<Priority>> {
    match text {
        None => Ok(None),
        Some("urgent") => Ok(Some(Priority::Urgent)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("low") => Ok(Some(Priority::Low)),
        Some(other) => bail!("--priority is {other}, but must be urgent, normal or low"),
    }
}
