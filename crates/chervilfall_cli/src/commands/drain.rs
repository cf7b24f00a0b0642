//! Has an endpoint take no new work, by a change of the configuration.

use chervilfall_client::RpcClient;

use crate::args::Drain;
use crate::exit::ExitStatus;
use crate::print;

pub(super) async fn run(client: &RpcClient, json: bool, args: Drain) -> anyhow::Result<ExitStatus> {
    let mut document = client.configuration().await?;
    document.drained.retain(|name| *name != args.endpoint);
    if !args.undo {
        document.drained.push(args.endpoint);
    }
    let document = client.configure(&document).await?;
    if json {
        print::json(&document)?;
    } else {
        let names = document.drained.join(", ");
        println!("version {}: drained endpoints: {names}", document.version);
    }
    Ok(ExitStatus::Success)
}
