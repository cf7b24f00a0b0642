//! `chervilfall`: the command line of callers and operators.

mod args;
mod commands;
mod exit;
mod parse;
mod print;

use std::process::ExitCode;

use args::Args;
use exit::ExitStatus;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let status = match commands::run(args).await {
        Ok(status) => status,
        Err(error) => {
            eprintln!("chervilfall: {error:#}");
            ExitStatus::of_error(&error)
        }
    };
    status.into()
}
