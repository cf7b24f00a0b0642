//! Differences of clocks, from lines of which one must come before the other: a claim, and that another
//! node has heard of it.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::line::LogLine;

/// Written by a holder before it tells anybody of its claim.
const CLAIMED: &str = "group claimed";
/// Written by a node that has heard a holder speak of its claim.
const FOUND: &str = "holder found";
/// Number of the claim, in both.
const TERM: &str = "term";

/// A clock that is behind another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClockDifference {
    /// Node whose clock is behind.
    pub behind: String,
    /// Node whose clock is ahead.
    pub ahead: String,
    /// Smallest difference that explains the lines.
    pub at_least_ms: u64,
}

/// Returns the differences that the lines show, the largest of each pair of nodes.
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
