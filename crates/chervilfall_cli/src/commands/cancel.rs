//! Cancels a request, or retires a service.

use chervilfall_client::RpcClient;
use chervilfall_schema::Phase;

use crate::args::Cancel;
use crate::exit::ExitStatus;
use crate::print;

pub(super) async fn run(
    client: &RpcClient,
    json: bool,
    args: Cancel,
) -> anyhow::Result<ExitStatus> {
    let answer = client.cancel(&args.key).await?;
    if json {
        print::json(&answer)?;
    } else {
        print::answer(&answer);
    }
    // What was cancelled is what the caller asked for, whatever its verdict.
    Ok(if answer.phase == Phase::Unknown {
        ExitStatus::Failed
    } else {
        ExitStatus::Success
    })
}
