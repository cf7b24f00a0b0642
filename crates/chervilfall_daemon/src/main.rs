//! `chervilfalld`: one process of an entry instance.

mod args;
mod commands;
mod exit;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: args::Args = argh::from_env();
    let status = if args.check {
        commands::check::run(&args.settings)
    } else {
        commands::serve::run(&args.settings)
    };
    status.into()
}
