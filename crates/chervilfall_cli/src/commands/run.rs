//! Submits a request and waits for its final answer by long polls.

use chervilfall_client::RpcClient;
use chervilfall_schema::{Answer, Phase};

use crate::args::Run;
use crate::exit::ExitStatus;
use crate::{parse, print};

/// Length of one long poll, in milliseconds.
const POLL_MS: u64 = 20_000;

pub(super) async fn run(client: &RpcClient, json: bool, args: Run) -> anyhow::Result<ExitStatus> {
    let request = parse::request(args.work)?;
    let mut answer = client.submit(&request).await?;
    while is_pending(&answer) {
        answer = client.fetch(&request.key, POLL_MS).await?;
    }
    if json {
        print::json(&answer)?;
    } else {
        print::answer(&answer);
    }
    Ok(ExitStatus::of_answer(&answer))
}

const fn is_pending(answer: &Answer) -> bool {
    matches!(
        answer.phase,
        Phase::Queued | Phase::Accepted | Phase::Running
    )
}
