//! Printing for people and as JSON.

use chervilfall_schema::{Answer, InstanceStatus, Resources};
use serde::Serialize;

/// Prints a value as JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints an answer for people.
pub(crate) fn answer(answer: &Answer) {
    let verdict = answer
        .verdict
        .map_or_else(String::new, |verdict| format!(", {verdict}"));
    println!("{}: {}{verdict}", answer.key, answer.phase);
    if let Some(tasks) = &answer.tasks {
        println!(
            "  tasks: {} waiting, {} running, {} ran, {} failed",
            tasks.waiting, tasks.running, tasks.ran, tasks.failed
        );
    }
    if let Some(message) = &answer.message {
        println!("  why: {message}");
    }
    if let Some(retry_after_ms) = answer.retry_after_ms {
        println!("  come back in: {retry_after_ms} ms");
    }
    if let Some(waited_ms) = answer.waited_ms {
        println!("  waited: {waited_ms} ms");
    }
    if let Some(endpoint) = &answer.endpoint {
        println!("  ran on: {endpoint}");
    }
    if let Some(result) = &answer.result {
        println!("  result: {result}");
    }
}

/// Prints the status of an instance for people.
pub(crate) fn instance(status: &InstanceStatus) {
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    println!(
        "entry {} in {}: {state}, up {} s, {} attempts wait",
        status.entry,
        status.domain,
        status.uptime_ms / 1_000,
        status.queued
    );
    println!(
        "configuration: version {}, confirmed {} ms ago; table {}",
        status.config_version,
        status.config_age_ms,
        if status.store_reachable {
            "reachable"
        } else {
            "away"
        }
    );
    println!("shards: {:?}", status.shards);
    for peer in &status.peers {
        let state = if peer.connected {
            "connected"
        } else {
            "not connected"
        };
        println!("peer {} in {}: {state}", peer.entry, peer.domain);
    }
    println!(
        "{:<20} {:<11} {:>8}  reserved",
        "endpoint", "state", "attempts"
    );
    for endpoint in &status.endpoints {
        println!(
            "{:<20} {:<11} {:>8}  {}",
            endpoint.name,
            endpoint.state.to_string(),
            endpoint.attempts,
            share(&endpoint.reserved, &endpoint.capacity)
        );
    }
}

/// Returns reserved over capacity in words.
fn share(reserved: &Resources, capacity: &Resources) -> String {
    format!(
        "{}/{} millicores, {}/{} MiB, {}/{} slots",
        reserved.processors_milli,
        capacity.processors_milli,
        reserved.memory_mib,
        capacity.memory_mib,
        reserved.slots,
        capacity.slots
    )
}
