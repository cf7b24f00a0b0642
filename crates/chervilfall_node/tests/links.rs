//! Links of followers to a holder whose thread for traffic is busy.

mod memory;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use chervilfall_node::Node;
use memory::MemoryPlatform;

/// How long the thread for traffic is busy: longer than a link may be silent.
const BUSY: Duration = Duration::from_secs(2);
/// Pause between two looks at a node.
const PAUSE: Duration = Duration::from_millis(10);
/// Bound of each wait for a node.
const BOUND: Duration = Duration::from_secs(10);

/// What the test and the thread of a follower tell each other.
#[derive(Debug, Default)]
struct Follower {
    /// It is linked to a holder whose claim is fresh.
    ready: AtomicBool,
    /// It was not ready once it had been.
    lost: AtomicBool,
    stop: AtomicBool,
}

impl Follower {
    /// Runs a node until the test is done.
    async fn run(&self, platform: MemoryPlatform) {
        let node = Node::open(memory::settings("n2", 0), platform).await;
        let node = node.expect("a node");
        while !self.stop.load(Ordering::Relaxed) {
            let ready = node.front().ready();
            let was_ready = self.ready.fetch_or(ready, Ordering::Relaxed);
            self.lost.fetch_or(was_ready && !ready, Ordering::Relaxed);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < BOUND, "{what}");
        tokio::time::sleep(PAUSE).await;
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").port()
}

// Guards against followers that take a busy holder for dead and link again and again, which keeps it busy
// (RECOVER).
#[tokio::test(flavor = "current_thread")]
async fn links_last_while_the_holders_traffic_waits() {
    let platform = MemoryPlatform::default();
    let settings = memory::settings("n1", free_port());
    let holder = Node::open(settings, platform.clone()).await;
    let holder = holder.expect("a node");
    wait_until("the node holds the group", || {
        platform.commits().len() >= 10
    })
    .await;
    let follower = Arc::new(Follower::default());
    let (running, shared) = (Arc::clone(&follower), platform.clone());
    let thread = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(running.run(shared));
    });
    let ready = || follower.ready.load(Ordering::Relaxed);
    wait_until("the follower is linked", ready).await;
    thread::sleep(BUSY);
    let lost = follower.lost.load(Ordering::Relaxed);
    follower.stop.store(true, Ordering::Relaxed);
    thread.join().expect("the follower ends");
    assert!(!lost, "the follower lost the holder");
    drop(holder);
}
