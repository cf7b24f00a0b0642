//! `chervilfall-dev`: generated code, stand-ins, cells, load and benches.

mod args;
mod commands;
mod schema;

use std::process::ExitCode;

use args::{Args, Command};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let ended = match args.command {
        Command::Generate(args) => commands::generate::run(&args),
        Command::Standin(args) => commands::standin::run(&args),
        Command::Cell(args) => commands::cell::run(&args),
        Command::Prove(args) => commands::prove::run(&args),
        Command::Fuzz(args) => Ok(commands::fuzz::run(&args)),
    };
    match ended {
        Ok(status) => status,
        Err(error) => {
            eprintln!("chervilfall-dev: {error:#}");
            ExitCode::FAILURE
        }
    }
}
