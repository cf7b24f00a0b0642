//! Detects clock differences between nodes from pairs of lines whose order is known: a holder logs
//! its claim before another node can log that it found this holder.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::line::LogLine;

/// Event that a holder logs before it announces its claim.
const CLAIMED: &str = "group claimed";
/// Event that a node logs when it has received the claim from the holder.
const FOUND: &str = "holder found";
/// Field with the number of the claim, in both events.
const TERM: &str = "term";

/// A clock that is behind the clock of another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClockDifference {
    /// Node whose clock is behind.
    pub behind: String,
    /// Node whose clock is ahead.
    pub ahead: String,
    /// Smallest difference that explains the lines, in milliseconds.
    pub at_least_ms: u64,
}

/// Returns the largest clock difference that the lines prove for each pair of nodes.
pub(crate) fn differences(lines: &[LogLine]) -> Vec<ClockDifference> {
    let claims: BTreeMap<u64, &LogLine> = lines
        .iter()
        .filter(|line| line.event == CLAIMED)
        .filter_map(|line| Some((line.number(TERM)?, line)))
        .collect();
    let mut found: BTreeMap<(String, String), u64> = BTreeMap::new();
    for heard in lines.iter().filter(|line| line.event == FOUND) {
        let claim = heard.number(TERM).and_then(|term| claims.get(&term));
        let Some(claim) = claim.filter(|claim| claim.node != heard.node) else {
            continue;
        };
        if heard.unix_ms < claim.unix_ms {
            let pair = (heard.node.clone(), claim.node.clone());
            let largest = found.entry(pair).or_default();
            *largest = (*largest).max(claim.unix_ms - heard.unix_ms);
        }
    }
    found
        .into_iter()
        .map(|((behind, ahead), at_least_ms)| ClockDifference {
            behind,
            ahead,
            at_least_ms,
        })
        .collect()
}
