//! Renewals of the claim by a node whose thread for traffic is busy.

mod memory;

use std::thread;
use std::time::{Duration, Instant};

use chervilfall_node::Node;
use memory::MemoryPlatform;

/// How long the thread for traffic is busy: longer than other nodes wait for a renewal.
const BUSY: Duration = Duration::from_secs(2);
/// Longest time between two renewals that other nodes accept of any holder.
const MAX_GAP: Duration = Duration::from_millis(1_200);
/// Bound of the wait for the claim.
const BOUND: Duration = Duration::from_secs(10);

// Guards against a holder whose renewals wait behind its other traffic, so that others take over from
// it again and again while it lives (RECOVER).
#[tokio::test(flavor = "current_thread")]
async fn a_holder_renews_its_claim_while_its_traffic_waits() {
    let platform = MemoryPlatform::default();
    let node = Node::open(memory::settings("n1", 0), platform.clone()).await;
    let node = node.expect("a node");
    let began = Instant::now();
    // The claim, and renewals of the planner that serves then.
    while platform.commits().len() < 10 {
        assert!(began.elapsed() < BOUND, "the node does not hold the group");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let busy_from = Instant::now();
    thread::sleep(BUSY);
    let busy_until = Instant::now();
    let mut renewals = platform.commits();
    renewals.retain(|at| (busy_from..busy_until).contains(at));
    renewals.insert(0, busy_from);
    renewals.push(busy_until);
    let gaps = renewals.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = gaps.max().expect("two times");
    assert!(longest < MAX_GAP, "no renewal for {longest:?}");
    drop(node);
}
