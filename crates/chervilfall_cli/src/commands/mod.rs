//! The commands, a file each.

mod cancel;
mod configure;
mod drain;
mod explain;
mod list;
mod logs;
mod quota;
mod report;
mod run;
mod status;
mod submit;

use std::env;
use std::fs;
use std::path::PathBuf;

use anyhow::Context;
use chervilfall_client::RpcClient;

use crate::args::{Args, Command};
use crate::exit::ExitStatus;

/// Environment variable with the base address of an entry instance.
const ENTRY: &str = "CHERVILFALL_ENTRY";
/// Environment variable with the path of the token's file.
const TOKEN_FILE: &str = "CHERVILFALL_TOKEN_FILE";

/// Carries out a command.
///
/// # Errors
///
/// Returns an error if the command could not be carried out.
pub(crate) async fn run(args: Args) -> anyhow::Result<ExitStatus> {
    let json = args.json;
    match &args.command {
        Command::Explain(explain) if !explain.log.is_empty() => {
            return explain::from_logs(json, explain);
        }
        Command::Report(report) if !report.log.is_empty() => {
            return report::from_logs(json, report);
        }
        _ => {}
    }
    let client = open_client(args.entry, args.token_file)?;
    match args.command {
        Command::Submit(args) => submit::run(&client, json, args).await,
        Command::Run(args) => run::run(&client, json, args).await,
        Command::Status(args) => status::run(&client, json, args).await,
        Command::Cancel(args) => cancel::run(&client, json, args).await,
        Command::List(args) => list::run(&client, json, args).await,
        Command::Drain(args) => drain::run(&client, json, args).await,
        Command::Configure(args) => configure::run(&client, json, args).await,
        Command::Quota(args) => quota::run(&client, json, args).await,
        Command::Report(args) => report::run(&client, json, args).await,
        Command::Explain(args) => explain::run(&client, json, args).await,
    }
}

fn open_client(entry: Option<String>, token_file: Option<PathBuf>) -> anyhow::Result<RpcClient> {
    let entry = entry
        .or_else(|| env::var(ENTRY).ok())
        .with_context(|| format!("--entry or {ENTRY} must be given"))?;
    let path = token_file
        .or_else(|| env::var_os(TOKEN_FILE).map(PathBuf::from))
        .with_context(|| format!("--token-file or {TOKEN_FILE} must be given"))?;
    let token =
        fs::read_to_string(&path).with_context(|| format!("can't read {}", path.display()))?;
    Ok(RpcClient::open(&entry, token.trim())?)
}
