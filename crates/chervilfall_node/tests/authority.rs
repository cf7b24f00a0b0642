//! How long a node accepts calls with a key after it can no longer read the configuration.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilfall_node::ports::{
    Advisor, ConfigurationQuery, ConfigurationReading, EndpointList, Endpoints, FoundConfiguration,
    Page, Platform, ReadProgress, Row, Store, StoreError,
};
use chervilfall_node::{FrontAnswer, KeyDigest, KeyRing, Node, Route, RouteTable, Settings};
use chervilfall_planner::{
    AdviceAnswer, AdviceOrder, Batch, CommitOutcome, HoldAnswer, HoldOrder, Queue, StartAnswer,
    StartOrder, StopAnswer, StopOrder,
};

const KEY: &str = "a-key";
const OWNER: &str = "owner";
/// Delay of the only answer after the store has read the configuration.
const ANSWER: Duration = Duration::from_millis(700);
const REVOKE: Duration = Duration::from_secs(1);

/// A platform that answers one reading of the configuration, late, and nothing else.
#[derive(Clone, Default)]
struct Silent {
    answered: Arc<AtomicBool>,
}

async fn never<T>() -> T {
    std::future::pending().await
}

impl Store for Silent {
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
        if self.answered.swap(true, Ordering::SeqCst) {
            return never().await;
        }
        tokio::time::sleep(ANSWER).await;
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
    async fn start(&self, _: StartOrder) -> StartAnswer {
        StartAnswer::Unanswered
    }

    async fn stop(&self, _: StopOrder) -> StopAnswer {
        StopAnswer::Unanswered
    }

    async fn hold(&self, _: HoldOrder) -> HoldAnswer {
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

async fn open(strict: bool) -> Node {
    // Any free port will do: no other node links to this one.
    let settings = format!(
        "node: a\ndomain: a\nlisten: 127.0.0.1:0\nready_listen: 127.0.0.1:0\nlink_listen: 127.0.0.1:0\n\
         store: 127.0.0.1:1\nlease_max_ms: 10000\nstatus_s: 120\nrow_bytes: 65536\nconfig_apply_ms: 500\n\
         revoke_ms: {}\nstrict_revoke: {strict}\n",
        REVOKE.as_millis()
    );
    let settings = Settings::parse("test", &settings).expect("sound settings");
    Node::open(settings, Silent::default())
        .await
        .expect("a node")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_accepted_while_its_reading_is_recent() {
    struct Case {
        name: &'static str,
        strict: bool,
        /// Time of the call, from the start of the only reading.
        at: Duration,
        answer: Result<Option<String>, FrontAnswer>,
    }
    let owner = || Ok(Some(OWNER.to_owned()));
    let cases = [
        Case {
            name: "the reading is recent",
            strict: true,
            at: ANSWER + Duration::from_millis(100),
            answer: owner(),
        },
        Case {
            name: "its answer is recent, but it was sent too long ago",
            strict: true,
            at: REVOKE + Duration::from_millis(150),
            answer: Err(FrontAnswer::Unconfirmed),
        },
        Case {
            name: "keys are trusted for as long as nothing newer is known",
            strict: false,
            at: REVOKE + Duration::from_millis(150),
            answer: owner(),
        },
    ];
    for case in cases {
        let opened = Instant::now();
        let node = open(case.strict).await;
        tokio::time::sleep_until((opened + case.at).into()).await;
        let answer = node.front().authorise(&route(), Some(KEY)).await;
        assert_eq!(answer, case.answer, "{}", case.name);
        let unknown = node.front().authorise(&route(), Some("another")).await;
        assert_eq!(unknown, Err(FrontAnswer::Unconfirmed), "{}", case.name);
    }
}
