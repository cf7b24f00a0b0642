//! Shows quotas, or sets one by a change of the configuration.

use std::num::NonZeroU64;

use anyhow::Context;
use chervilfall_client::RpcClient;
use chervilfall_schema::{Configuration, Resources};

use crate::args::Quota;
use crate::exit::ExitStatus;
use crate::print;

pub(super) async fn run(client: &RpcClient, json: bool, args: Quota) -> anyhow::Result<ExitStatus> {
    let mut document = client.configuration().await?;
    if let (Some(team), Some(weight)) = (args.team, args.weight) {
        let weight = NonZeroU64::new(weight).context("--weight must be at least 1")?;
        document.quotas.retain(|quota| quota.team != team);
        document.quotas.push(chervilfall_schema::Quota {
            team,
            weight: Some(weight),
            resources: Some(Resources {
                processors_milli: args.processors_milli,
                memory_mib: args.memory_mib,
                accelerators: 0,
                slots: 0,
                connections: 0,
            }),
        });
        document = client.configure(&document).await?;
    }
    if json {
        print::json(&document.quotas)?;
    } else {
        show(&document);
    }
    Ok(ExitStatus::Success)
}

fn show(document: &Configuration) {
    println!("version {}", document.version);
    println!("{:<24} {:>6}  most that it holds", "team", "weight");
    for quota in &document.quotas {
        let weight = quota.weight.map_or(1, NonZeroU64::get);
        let most = quota.resources.as_ref().map_or_else(
            || "anything".to_owned(),
            |most| {
                format!(
                    "{} millicores, {} MiB",
                    most.processors_milli, most.memory_mib
                )
            },
        );
        println!("{:<24} {weight:>6}  {most}", quota.team);
    }
}
