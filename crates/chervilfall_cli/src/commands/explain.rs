//! Tells what happened to a request.

use anyhow::Context;
use chervilfall_client::RpcClient;
use chervilfall_story::JobTimeline;

use crate::args::Explain;
use crate::commands::logs;
use crate::exit::ExitStatus;
use crate::print;

pub(super) async fn run(
    client: &RpcClient,
    json: bool,
    args: Explain,
) -> anyhow::Result<ExitStatus> {
    let explanation = client.explain(&args.key).await?;
    if json {
        print::json(&explanation)?;
        return Ok(ExitStatus::Success);
    }
    println!("{}", explanation.key);
    for event in &explanation.events {
        println!("  {:>8} ms  {}", event.at_ms, event.event);
    }
    Ok(ExitStatus::Success)
}

/// Tells a job's story from log files.
///
/// # Errors
///
/// Returns an error if a file can't be read or no line is about the job.
pub(super) fn from_logs(json: bool, args: &Explain) -> anyhow::Result<ExitStatus> {
    let read = logs::read(&args.log)?;
    let timeline = JobTimeline::build(&args.key, &read).with_context(|| {
        format!(
            "none of {} lines is about job {}",
            read.lines.len(),
            args.key
        )
    })?;
    if json {
        print::json(&timeline)?;
    } else {
        print!("{timeline}");
    }
    Ok(ExitStatus::Success)
}
