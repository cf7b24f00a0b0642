//! Differences of clocks, from lines of which one must come before the other.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::line::LogLine;

/// A line that must come before another one on a different node.
struct Order {
    cause: &'static str,
    effect: &'static str,
    /// Field that has the same value in both.
    field: &'static str,
}

/// A node follows a holder only after its claim, and answers a caller only after the holder has refused.
const ORDERS: [Order; 2] = [
    Order {
        cause: "group claimed",
        effect: "holder found",
        field: "term",
    },
    Order {
        cause: "refused, the store does not answer",
        effect: "request not carried out",
        field: "job",
    },
];

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
    let mut found: BTreeMap<(String, String), u64> = BTreeMap::new();
    for order in &ORDERS {
        let causes: BTreeMap<String, &LogLine> = lines
            .iter()
            .filter(|line| line.event == order.cause)
            .filter_map(|line| Some((line.fields.get(order.field)?.to_string(), line)))
            .collect();
        for effect in lines.iter().filter(|line| line.event == order.effect) {
            let value = effect.fields.get(order.field).map(ToString::to_string);
            let Some(cause) = value.and_then(|value| causes.get(&value)) else {
                continue;
            };
            if cause.node == effect.node || effect.unix_ms >= cause.unix_ms {
                continue;
            }
            let pair = (effect.node.clone(), cause.node.clone());
            let largest = found.entry(pair).or_default();
            *largest = (*largest).max(cause.unix_ms - effect.unix_ms);
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
