//! Arguments of the development tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Development tool of chervilfall.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Generate(Generate),
    Standin(Standin),
    Cell(Cell),
    Fuzz(Fuzz),
    Prove(Prove),
}

/// Regenerates code and docs; run it at the root of the repository.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "generate")]
pub(crate) struct Generate {
    /// change nothing, fail if something is not current
    #[argh(switch)]
    pub(crate) check: bool,
}

/// Runs a stand-in for what surrounds the system.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct Standin {
    #[argh(subcommand)]
    pub(crate) kind: StandinKind,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum StandinKind {
    Table(Table),
    Objects(Objects),
    Members(Members),
    Endpoints(Endpoints),
    Relay(Relay),
}

/// The platform's table.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "table")]
pub(crate) struct Table {
    /// address on loopback
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// file with the token that calls must carry
    #[argh(option)]
    pub(crate) token_file: PathBuf,
    /// most rows written a second
    #[argh(option, default = "300")]
    pub(crate) writes_per_s: u64,
    /// most reads a second
    #[argh(option, default = "2_000")]
    pub(crate) reads_per_s: u64,
}

/// The platform's object store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "objects")]
pub(crate) struct Objects {
    /// address on loopback
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// file with the token that calls must carry
    #[argh(option)]
    pub(crate) token_file: PathBuf,
}

/// The platform's list of endpoints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "members")]
pub(crate) struct Members {
    /// address on loopback
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// file with the token that calls must carry
    #[argh(option)]
    pub(crate) token_file: PathBuf,
    /// how far the list lags, in milliseconds
    #[argh(option, default = "1_000")]
    pub(crate) lag_ms: u64,
}

/// The agents of many endpoints.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub(crate) struct Endpoints {
    /// address on loopback
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// file with the token that calls must carry
    #[argh(option)]
    pub(crate) token_file: PathBuf,
    /// name of an endpoint; may be given many times
    #[argh(option)]
    pub(crate) name: Vec<String>,
    /// what each endpoint can carry, as JSON
    #[argh(option)]
    pub(crate) capacity: String,
    /// how long endpoints go on without a lease, in milliseconds
    #[argh(option, default = "20_000")]
    pub(crate) orphan_ms: u64,
}

/// The network between failure domains.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
pub(crate) struct Relay {
    /// address on loopback where faults are set
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// file with the token that calls must carry
    #[argh(option)]
    pub(crate) token_file: PathBuf,
    /// routes, as a JSON list
    #[argh(option)]
    pub(crate) routes: String,
}

/// Drives the decision core with generated histories and checks every promise.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fuzz")]
pub(crate) struct Fuzz {
    /// how long to go on, in seconds
    #[argh(option, default = "60")]
    pub(crate) seconds: u64,
    /// seed of the first history
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// threads
    #[argh(option, default = "4")]
    pub(crate) threads: u64,
    /// deliberate break at the interfaces that must be caught: epoch, start-by, overfill, verdict,
    /// commit, fence, version, answer or look-up
    #[argh(option)]
    pub(crate) tamper: Option<String>,
    /// also look up answers between the steps
    #[argh(switch)]
    pub(crate) look_ups: bool,
    /// only run the history of the seed, and trace what holds this text
    #[argh(option)]
    pub(crate) trace: Option<String>,
}

/// Starts a cell, offers load, and checks what callers were told against the endpoints' journals.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cell")]
pub(crate) struct Cell {
    /// how long load is offered, in seconds
    #[argh(option, default = "5")]
    pub(crate) seconds: u64,
    /// seed of the load
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// consortium or association
    #[argh(option, default = "String::from(\"consortium\")")]
    pub(crate) users: String,
    /// requests a second
    #[argh(option, default = "200")]
    pub(crate) rate: u64,
    /// keep the folder with settings and logs
    #[argh(switch)]
    pub(crate) keep: bool,
}

/// Proves the promises in processes under faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "prove")]
pub(crate) struct Prove {
    /// name of one fault; all if absent
    #[argh(option)]
    pub(crate) fault: Option<String>,
    /// how long load is offered, in seconds
    #[argh(option, default = "12")]
    pub(crate) seconds: u64,
    /// how long a pause, cut or outage stands, in milliseconds
    #[argh(option, default = "chervilfall_cell::DEFAULT_STAND_MS")]
    pub(crate) stand_ms: u64,
    /// seed of the load
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// requests a second
    #[argh(option, default = "100")]
    pub(crate) rate: u64,
    /// consortium or association
    #[argh(option, default = "String::from(\"consortium\")")]
    pub(crate) users: String,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    /// keep the folders with settings and logs
    #[argh(switch)]
    pub(crate) keep: bool,
}
