//! Shows where a request stands, or what an instance does.

use chervilfall_client::RpcClient;

use crate::args::Status;
use crate::exit::ExitStatus;
use crate::print;

pub(super) async fn run(
    client: &RpcClient,
    json: bool,
    args: Status,
) -> anyhow::Result<ExitStatus> {
    let Some(key) = args.key else {
        let status = client.status().await?;
        if json {
            print::json(&status)?;
        } else {
            print::instance(&status);
        }
        return Ok(ExitStatus::Success);
    };
    let answer = client.fetch(&key, args.wait_ms).await?;
    if json {
        print::json(&answer)?;
    } else {
        print::answer(&answer);
    }
    Ok(ExitStatus::of_answer(&answer))
}
