//! Shows the configuration, or replaces it from a file.

use std::fs::File;

use anyhow::Context;
use chervilfall_client::RpcClient;

use crate::args::Configure;
use crate::exit::ExitStatus;
use crate::print;

pub(super) async fn run(
    client: &RpcClient,
    json: bool,
    args: Configure,
) -> anyhow::Result<ExitStatus> {
    let Some(path) = args.path else {
        print::json(&client.configuration().await?)?;
        return Ok(ExitStatus::Success);
    };
    let file = File::open(&path).with_context(|| format!("can't read {}", path.display()))?;
    let document =
        serde_json::from_reader(file).with_context(|| format!("in {}", path.display()))?;
    let document = client.configure(&document).await?;
    if json {
        print::json(&document)?;
    } else {
        println!("version {} is in force", document.version);
    }
    Ok(ExitStatus::Success)
}
