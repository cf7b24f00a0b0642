//! Reports the burn of every objective.

use std::fs;

use anyhow::{bail, Context};
use chervilfall_client::RpcClient;
use chervilfall_schema::BurnRow;
use chervilfall_story::{page, Burn};

use crate::args::Report;
use crate::commands::logs;
use crate::exit::ExitStatus;
use crate::print;

pub(super) async fn run(
    client: &RpcClient,
    json: bool,
    args: Report,
) -> anyhow::Result<ExitStatus> {
    check_name(&args.what)?;
    let report = client.burn().await?;
    if json {
        print::json(&report)?;
        return Ok(ExitStatus::Success);
    }
    table(&report.rows);
    Ok(ExitStatus::Success)
}

/// Reports the burn of each queue's objective from log files.
///
/// # Errors
///
/// Returns an error if a file can't be read or written, if the share is not below the whole, or if no line
/// says that a job ended.
pub(super) fn from_logs(json: bool, args: &Report) -> anyhow::Result<ExitStatus> {
    check_name(&args.what)?;
    let read = logs::read(&args.log)?;
    let burn = Burn::from_lines(&read.lines, args.success_permille)?;
    if let Some(path) = &args.html {
        let page = page(&burn)?;
        fs::write(path, page).with_context(|| format!("can't write {}", path.display()))?;
    }
    if json {
        print::json(&burn)?;
    } else {
        table(&burn.rows);
        if burn.unjudged > 0 {
            println!(
                "{} completed jobs name no objective and are not counted",
                burn.unjudged
            );
        }
    }
    Ok(ExitStatus::Success)
}

fn check_name(what: &str) -> anyhow::Result<()> {
    if what != "burn" {
        bail!("there is no report {what}; there is: burn");
    }
    Ok(())
}

fn table(rows: &[BurnRow]) {
    println!(
        "{:<12} {:>9} {:>7} {:>12} {:>12} {:>12}  page",
        "class", "requests", "bad", "burn 5 min", "burn 1 h", "budget left"
    );
    for row in rows {
        println!(
            "{:<12} {:>9} {:>7} {:>12} {:>12} {:>12}  {}",
            row.class,
            row.requests,
            row.bad,
            thousandths(row.burn_short_permille),
            thousandths(row.burn_long_permille),
            thousandths(row.budget_left_permille),
            if row.page { "yes" } else { "no" }
        );
    }
}

fn thousandths(permille: u64) -> String {
    format!("{}.{:03}", permille / 1_000, permille % 1_000)
}
