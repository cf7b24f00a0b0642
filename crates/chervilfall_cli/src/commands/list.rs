//! Lists the requests that an instance knows.

use chervilfall_client::RpcClient;

use crate::args::List;
use crate::exit::ExitStatus;
use crate::print;

pub(super) async fn run(client: &RpcClient, json: bool, _: List) -> anyhow::Result<ExitStatus> {
    let list = client.list().await?;
    if json {
        print::json(&list)?;
        return Ok(ExitStatus::Success);
    }
    println!(
        "{:<32} {:<12} {:<8} {:<10} verdict",
        "key", "team", "kind", "phase"
    );
    for request in &list.requests {
        let verdict = request.verdict.map_or_else(String::new, |v| v.to_string());
        println!(
            "{:<32} {:<12} {:<8} {:<10} {verdict}",
            request.key,
            request.team,
            request.kind,
            request.phase.to_string()
        );
    }
    Ok(ExitStatus::Success)
}
