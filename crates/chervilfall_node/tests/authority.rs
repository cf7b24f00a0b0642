//! How long a node accepts calls with a key after it can no longer read the configuration.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chervilfall_node::ports::{
    Advisor, ConfigurationQuery, ConfigurationReading, EndpointList, Endpoints, FoundConfiguration,
    LateLists, Page, Platform, ReadProgress, Row, Store, StoreError,
};
use chervilfall_node::{FrontAnswer, KeyDigest, KeyRing, Node, Route, RouteTable, Settings};
use chervilfall_planner::{
    AdviceAnswer, AdviceOrder, Batch, CommitOutcome, HoldAnswer, HoldOrder, Queue, StartAnswer,
    StartOrder, StopAnswer, StopOrder,
};
use tokio::sync::oneshot;

const KEY: &str = "a-key";
const OWNER: &str = "owner";
const REVOKE: Duration = Duration::from_secs(1);
/// Time that a call waits for a newer reading: short, so that one that is refused ends in time too.
const WAIT: Duration = Duration::from_millis(50);
/// Delay of the only answer after the store has read the configuration.
const ANSWER: Duration = Duration::from_millis(700);
/// Age of a reading that is recent.
const RECENT: Duration = Duration::from_millis(800);
/// Least age of a reading that is too old: the node counts whole milliseconds.
const TOO_OLD: Duration = Duration::from_millis(1_010);
const POLL: Duration = Duration::from_millis(5);
/// Most time until a node has the configuration: the only answer comes after a second.
const MAX_OPENING: Duration = Duration::from_secs(30);
/// Most nodes that are opened for a case until a call is in time.
const MAX_TRIES: usize = 30;

/// A platform that answers one reading of the configuration, late, and nothing else.
#[derive(Clone)]
struct Silent {
    answer_after: Duration,
    /// Is told when that reading arrives; taken by it.
    arrival: Arc<Mutex<Option<oneshot::Sender<Instant>>>>,
}

async fn never<T>() -> T {
    std::future::pending().await
}

impl Store for Silent {
    const CHANGES_LAG_MS: u64 = 0;

    async fn commit(&self, _: &str, _: Batch) -> CommitOutcome {
        CommitOutcome::NotDone
    }

    async fn read_page(
        &self,
        _: &str,
        _: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, StoreError> {
        never().await
    }

    async fn read_row(&self, _: &str, _: &str, _: &str) -> Result<(Option<Row>, u64), StoreError> {
        never().await
    }

    async fn read_claim(&self, _: &str) -> Result<(Option<Row>, u64), StoreError> {
        never().await
    }

    async fn read_endpoints(&self) -> Result<EndpointList, StoreError> {
        never().await
    }

    async fn read_configuration(
        &self,
        _: ConfigurationQuery,
        _: ReadProgress,
    ) -> Result<ConfigurationReading, StoreError> {
        let arrival = self.arrival.lock().expect("no panic").take();
        let Some(arrival) = arrival else {
            return never().await;
        };
        let arrived = Instant::now();
        arrival.send(arrived).expect("the test waits");
        tokio::time::sleep_until((arrived + self.answer_after).into()).await;
        let keys = KeyRing::new([(KeyDigest::of(KEY), OWNER.to_owned())]);
        let table = RouteTable {
            version: 1,
            routes: vec![route()],
            keys,
            ..RouteTable::default()
        };
        Ok(ConfigurationReading {
            as_of: 1,
            lag_ms: 0,
            found: FoundConfiguration::Changed {
                version: 1,
                bytes: 100,
                table,
            },
        })
    }
}

impl Endpoints for Silent {
    const MAX_LISTED_ENDS: usize = 500;

    async fn start(&self, _: StartOrder) -> StartAnswer {
        StartAnswer::Unanswered
    }

    async fn stop(&self, _: StopOrder) -> StopAnswer {
        StopAnswer::Unanswered
    }

    async fn hold(&self, _: HoldOrder, _: LateLists) -> HoldAnswer {
        HoldAnswer::Unanswered
    }
}

impl Advisor for Silent {
    async fn advise(&self, _: AdviceOrder) -> AdviceAnswer {
        AdviceAnswer::Failed
    }
}

impl Platform for Silent {
    type Store = Self;
    type Endpoints = Self;
    type Advisor = Self;

    fn store(&self) -> &Self {
        self
    }

    fn endpoints(&self) -> &Self {
        self
    }

    fn advisor(&self) -> &Self {
        self
    }
}

fn route() -> Route {
    Route {
        host: "jobs.example".to_owned(),
        path_prefix: "/batch/".to_owned(),
        public: false,
        queue: Queue::default(),
    }
}

/// A node, and what is known of the start of the only reading that is answered.
struct Opened {
    node: Node,
    /// The reading was not begun before this time.
    earliest: Instant,
    /// The reading was not begun after this time.
    latest: Instant,
}

/// Opens a node, and waits until it has the configuration.
async fn open(strict: bool, answer_after: Duration) -> Opened {
    // Any free port will do: no other node links to this one.
    let settings = format!(
        "node: a\ndomain: a\nlisten: 127.0.0.1:0\nready_listen: 127.0.0.1:0\nlink_listen: 127.0.0.1:0\n\
         store: 127.0.0.1:1\nlease_max_ms: 10000\nstatus_s: 120\nrow_bytes: 65536\nconfig_apply_ms: 500\n\
         revoke_ms: {}\nstrict_revoke: {strict}\ntimings:\n  configuration_wait_ms: {}\n",
        REVOKE.as_millis(),
        WAIT.as_millis(),
    );
    let settings = Settings::parse("test", &settings).expect("sound settings");
    let (sender, arrival) = oneshot::channel();
    let platform = Silent {
        answer_after,
        arrival: Arc::new(Mutex::new(Some(sender))),
    };
    let earliest = Instant::now();
    let node = Node::open(settings, platform).await.expect("a node");
    let latest = arrival.await.expect("a reading");
    while node.front().routes().is_none() {
        assert!(earliest.elapsed() < MAX_OPENING, "the answer was discarded");
        tokio::time::sleep(POLL).await;
    }
    Opened {
        node,
        earliest,
        latest,
    }
}

struct Case {
    name: &'static str,
    strict: bool,
    /// Delay of the answer to the reading.
    answer_after: Duration,
    /// Least age of the reading at the call.
    min_age: Duration,
    /// Most age of the reading at the end of the call; none if any will do.
    max_age: Option<Duration>,
    answer: Result<Option<String>, FrontAnswer>,
}

impl Case {
    /// Makes the call at a new node; returns its answer, or none if the reading was too old by then.
    async fn try_call(&self) -> Option<Result<Option<String>, FrontAnswer>> {
        let opened = open(self.strict, self.answer_after).await;
        tokio::time::sleep_until((opened.latest + self.min_age).into()).await;
        let front = opened.node.front();
        let answer = front.authorise(&route(), Some(KEY)).await;
        let max_age = opened.earliest.elapsed();
        let unknown = front.authorise(&route(), Some("another")).await;
        assert_eq!(unknown, Err(FrontAnswer::Unconfirmed), "{}", self.name);
        self.max_age
            .is_none_or(|bound| max_age <= bound)
            .then_some(answer)
    }

    async fn call(&self) -> Result<Option<String>, FrontAnswer> {
        for _ in 0..MAX_TRIES {
            if let Some(answer) = self.try_call().await {
                return answer;
            }
        }
        panic!("{}: no call of {MAX_TRIES} was in time", self.name);
    }
}

/// Guards against keys that are trusted for too long, or not for long enough. The age of a reading is bounded from
/// both sides by times that the test saw, however long anything takes.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_accepted_while_its_reading_is_recent() {
    let owner = || Ok(Some(OWNER.to_owned()));
    let cases = [
        Case {
            name: "the reading is recent",
            strict: true,
            answer_after: ANSWER,
            min_age: RECENT,
            max_age: Some(REVOKE),
            answer: owner(),
        },
        Case {
            name: "the reading was recent when it was answered, and is no longer",
            strict: true,
            answer_after: ANSWER,
            min_age: TOO_OLD,
            max_age: None,
            answer: Err(FrontAnswer::Unconfirmed),
        },
        Case {
            name: "its answer has just come, but it was sent too long ago",
            strict: true,
            answer_after: TOO_OLD,
            min_age: TOO_OLD,
            max_age: None,
            answer: Err(FrontAnswer::Unconfirmed),
        },
        Case {
            name: "keys are trusted for as long as nothing newer is known",
            strict: false,
            answer_after: ANSWER,
            min_age: TOO_OLD,
            max_age: None,
            answer: owner(),
        },
    ];
    for case in cases {
        assert_eq!(case.call().await, case.answer, "{}", case.name);
    }
}
