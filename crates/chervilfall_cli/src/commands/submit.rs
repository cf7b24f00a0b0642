//! Submits a request and returns once it is accepted.

use chervilfall_client::RpcClient;

use crate::args::Submit;
use crate::exit::ExitStatus;
use crate::{parse, print};

pub(super) async fn run(
    client: &RpcClient,
    json: bool,
    args: Submit,
) -> anyhow::Result<ExitStatus> {
    let request = parse::request(args.work)?;
    let answer = client.submit(&request).await?;
    if json {
        print::json(&answer)?;
    } else {
        print::answer(&answer);
    }
    Ok(ExitStatus::of_answer(&answer))
}
