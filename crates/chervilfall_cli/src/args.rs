//! Arguments of the command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Submits work to chervilfall, a cluster scheduler, and operates it.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Ask a service and wait for its answer:\n  {command_name} run call --service loan-router --idempotent --payload status",
    example = "Submit a batch job of 20 tasks and wait for it:\n  {command_name} run batch --tasks 20 --processors-milli 500 --memory-mib 256 --run-ms 2000",
    example = "See what an instance does:\n  {command_name} status",
    example = "Drain an endpoint:\n  {command_name} drain atl-hall-03",
    note = "The instance and the token may also come from CHERVILFALL_ENTRY and CHERVILFALL_TOKEN_FILE.",
    error_code(1, "The command failed, or its arguments are wrong."),
    error_code(3, "The request surely did not run."),
    error_code(4, "The request may have run."),
    error_code(5, "No entry instance could be reached."),
    error_code(6, "The change lost a race.")
)]
pub(crate) struct Args {
    /// base address of an entry instance, or of the balancer before them
    #[argh(option)]
    pub(crate) entry: Option<String>,

    /// file with the token of callers or operators
    #[argh(option)]
    pub(crate) token_file: Option<PathBuf>,

    /// print JSON as the RPC says it
    #[argh(switch)]
    pub(crate) json: bool,

    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Submit(Submit),
    Run(Run),
    Status(Status),
    Cancel(Cancel),
    List(List),
    Drain(Drain),
    Configure(Configure),
    Quota(Quota),
    Report(Report),
    Explain(Explain),
}

/// Submits a request and returns once it is accepted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    #[argh(subcommand)]
    pub(crate) work: WorkArgs,
}

/// Submits a request and waits for its final answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    #[argh(subcommand)]
    pub(crate) work: WorkArgs,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum WorkArgs {
    Call(CallArgs),
    Batch(BatchArgs),
    Gang(GangArgs),
    Service(ServiceArgs),
    File(FileArgs),
}

/// One interactive request to a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
pub(crate) struct CallArgs {
    /// name of the service
    #[argh(option)]
    pub(crate) service: String,
    /// the request may run more than once
    #[argh(switch)]
    pub(crate) idempotent: bool,
    /// opaque input
    #[argh(option, default = "String::new()")]
    pub(crate) payload: String,
    /// declared run time, in milliseconds
    #[argh(option)]
    pub(crate) run_ms: Option<u64>,
    /// key of the request; a fresh one if absent
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// team whose quota the work counts against
    #[argh(option, default = "String::from(\"default\")")]
    pub(crate) team: String,
    /// time within which the answer is wanted, in milliseconds
    #[argh(option, default = "5_000")]
    pub(crate) deadline_ms: u64,
}

/// Tasks that can wait.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "batch")]
pub(crate) struct BatchArgs {
    /// number of tasks
    #[argh(option)]
    pub(crate) tasks: u64,
    /// processors of a task, in thousandths of one
    #[argh(option, default = "0")]
    pub(crate) processors_milli: u64,
    /// memory of a task, in mebibytes
    #[argh(option, default = "0")]
    pub(crate) memory_mib: u64,
    /// accelerators of a task
    #[argh(option, default = "0")]
    pub(crate) accelerators: u64,
    /// declared run time of a task, in milliseconds
    #[argh(option)]
    pub(crate) run_ms: Option<u64>,
    /// urgent, normal or low
    #[argh(option)]
    pub(crate) priority: Option<String>,
    /// a task must not run more than once
    #[argh(switch)]
    pub(crate) once: bool,
    /// opaque input of every task
    #[argh(option, default = "String::new()")]
    pub(crate) payload: String,
    /// key of the request; a fresh one if absent
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// team whose quota the work counts against
    #[argh(option, default = "String::from(\"default\")")]
    pub(crate) team: String,
    /// time within which the job must be accepted, in milliseconds
    #[argh(option, default = "5_000")]
    pub(crate) deadline_ms: u64,
}

/// Tasks that all start together or not at all.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gang")]
pub(crate) struct GangArgs {
    /// number of tasks
    #[argh(option)]
    pub(crate) tasks: u64,
    /// processors of a task, in thousandths of one
    #[argh(option, default = "0")]
    pub(crate) processors_milli: u64,
    /// memory of a task, in mebibytes
    #[argh(option, default = "0")]
    pub(crate) memory_mib: u64,
    /// accelerators of a task
    #[argh(option, default = "0")]
    pub(crate) accelerators: u64,
    /// declared run time of a task, in milliseconds
    #[argh(option)]
    pub(crate) run_ms: Option<u64>,
    /// urgent, normal or low
    #[argh(option)]
    pub(crate) priority: Option<String>,
    /// a task must not run more than once
    #[argh(switch)]
    pub(crate) once: bool,
    /// opaque input of every task
    #[argh(option, default = "String::new()")]
    pub(crate) payload: String,
    /// key of the request; a fresh one if absent
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// team whose quota the work counts against
    #[argh(option, default = "String::from(\"default\")")]
    pub(crate) team: String,
    /// time within which the job must be accepted, in milliseconds
    #[argh(option, default = "5_000")]
    pub(crate) deadline_ms: u64,
}

/// Replicas that run until the request is cancelled.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct ServiceArgs {
    /// number of replicas
    #[argh(option)]
    pub(crate) replicas: u64,
    /// processors of a replica, in thousandths of one
    #[argh(option, default = "0")]
    pub(crate) processors_milli: u64,
    /// memory of a replica, in mebibytes
    #[argh(option, default = "0")]
    pub(crate) memory_mib: u64,
    /// opaque input of every replica
    #[argh(option, default = "String::new()")]
    pub(crate) payload: String,
    /// key of the request; a fresh one if absent
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// team whose quota the work counts against
    #[argh(option, default = "String::from(\"default\")")]
    pub(crate) team: String,
    /// time within which the job must be accepted, in milliseconds
    #[argh(option, default = "5_000")]
    pub(crate) deadline_ms: u64,
}

/// A request as the RPC says it, from a JSON file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "file")]
pub(crate) struct FileArgs {
    /// the file
    #[argh(positional)]
    pub(crate) path: PathBuf,
}

/// Shows where a request stands, or what an instance does.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// key of a request; the instance if absent
    #[argh(positional)]
    pub(crate) key: Option<String>,
    /// how long to wait for the final answer, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) wait_ms: u64,
}

/// Cancels a request, or retires a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct Cancel {
    /// key of the request
    #[argh(positional)]
    pub(crate) key: String,
}

/// Lists the requests that an instance knows.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// Has an endpoint take no new work.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// name of the endpoint
    #[argh(positional)]
    pub(crate) endpoint: String,
    /// take the drain back
    #[argh(switch)]
    pub(crate) undo: bool,
}

/// Shows the configuration, or replaces it from a file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "configure")]
pub(crate) struct Configure {
    /// JSON file with the new configuration and the version that it replaces
    #[argh(positional)]
    pub(crate) path: Option<PathBuf>,
}

/// Shows quotas, or sets one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quota")]
pub(crate) struct Quota {
    /// the team
    #[argh(positional)]
    pub(crate) team: Option<String>,
    /// share of the team against others
    #[argh(option)]
    pub(crate) weight: Option<u64>,
    /// most processors that its work holds, in thousandths of one
    #[argh(option, default = "0")]
    pub(crate) processors_milli: u64,
    /// most memory that its work holds, in mebibytes
    #[argh(option, default = "0")]
    pub(crate) memory_mib: u64,
}

/// Reports on the system; with log files, from the structured lines that nodes have written, without asking
/// an entry instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct Report {
    /// what to report: burn
    #[argh(positional)]
    pub(crate) what: String,
    /// file with log lines; may be given several times
    #[argh(option)]
    pub(crate) log: Vec<PathBuf>,
    /// share of jobs that have to complete within their objective, in thousandths; with log files
    #[argh(option, default = "990")]
    pub(crate) success_permille: u64,
    /// file to write a page with plots to; with log files
    #[argh(option)]
    pub(crate) html: Option<PathBuf>,
}

/// Tells why a request waits, where it was placed, and what was refused; with log files, from the
/// structured lines that nodes have written, without asking an entry instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// key of the request, or id of the job in log files
    #[argh(positional)]
    pub(crate) key: String,
    /// file with log lines; may be given several times
    #[argh(option)]
    pub(crate) log: Vec<PathBuf>,
}
