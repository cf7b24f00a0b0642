//! Interfaces to the platform that a node runs on.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

use chervilfall_planner::{
    AdviceAnswer, AdviceOrder, Batch, CommitOutcome, DomainName, EndpointEntry, HoldAnswer,
    HoldOrder, HoldReport, Millis, RowVersion, StartAnswer, StartOrder, StopAnswer, StopOrder,
};

use tokio::sync::oneshot;

use crate::clock::now_ms;
use crate::routes::RouteTable;

/// A row of the node's own tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Version.
    pub version: RowVersion,
}

/// A page of a table's rows, in key order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// More rows follow.
    pub more: bool,
}

/// Why the store, the list of endpoints or the configuration cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store refused the call.
    #[error("store refused with status {0}")]
    Refused(u16),
    /// No answer arrived in time, or the connection broke.
    #[error("store did not answer: {0}")]
    Unanswered(String),
    /// The answer cannot be decoded.
    #[error("store's answer cannot be read: {0}")]
    Malformed(String),
}

/// The list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointList {
    /// Version of the store when the list was read; a later list has the same or a higher one.
    pub version: RowVersion,
    /// The list.
    pub entries: Vec<EndpointEntry>,
    /// Evacuations of failure domains, read at about the same time.
    pub evacuations: EvacuationList,
}

/// The failure domains that the operator has evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationList {
    /// Version of the store when they were read.
    pub version: RowVersion,
    /// Their names.
    pub domains: BTreeSet<DomainName>,
}

/// How to read the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationQuery {
    /// Reads the row, and decodes it unless it has the version `known`.
    Row {
        /// Version of the newest row that was read.
        known: Option<RowVersion>,
    },
    /// Reads the row only if it has changed, or if the store no longer knows whether it has.
    Changes {
        /// Version of the store that an earlier reading shows.
        since: RowVersion,
    },
}

/// A reading of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigurationReading {
    /// Version of the store that the reading shows.
    pub as_of: RowVersion,
    /// Changes made in this time before the reading began may be missing.
    pub lag_ms: Millis,
    /// What was found.
    pub found: FoundConfiguration,
}

/// Result of reading the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum FoundConfiguration {
    /// There is no configuration.
    Absent,
    /// The row is the one that is known.
    Unchanged,
    /// The row has another version.
    Changed {
        /// Version of the row.
        version: RowVersion,
        /// Size of its value.
        bytes: usize,
        /// Its content.
        table: RouteTable,
    },
    /// The row has another version and cannot be decoded completely.
    Unreadable {
        /// Version of the row.
        version: RowVersion,
        /// Size of its value.
        bytes: usize,
        /// What cannot be decoded, with the field's path.
        error: String,
    },
}

/// Progress of a reading whose answer takes long to arrive on a slow link.
#[derive(Debug, Clone, Default)]
pub struct ReadProgress(Arc<ReceivedBytes>);

#[derive(Debug, Default)]
struct ReceivedBytes {
    bytes: AtomicU64,
    /// When the last of them arrived, in milliseconds.
    last_ms: AtomicU64,
    /// All of them have arrived.
    complete: AtomicBool,
}

impl ReadProgress {
    /// Records received bytes of the answer.
    pub fn record(&self, bytes: usize) {
        self.0.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.last_ms.store(now_ms(), Ordering::Relaxed);
    }

    /// Records that the whole answer has arrived and only has to be decoded.
    pub fn record_complete(&self) {
        self.0.complete.store(true, Ordering::Relaxed);
    }

    /// Returns whether the whole answer has arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.0.complete.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Ordering::Relaxed)
    }

    /// Returns when the last bytes arrived, if any did.
    pub(crate) fn last_ms(&self) -> Option<u64> {
        (self.bytes() > 0).then(|| self.0.last_ms.load(Ordering::Relaxed))
    }
}

/// The platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Changes made in this time before a query of changes began may be missing from its answer.
    const CHANGES_LAG_MS: Millis;

    /// Writes a batch to a group's tables if the claim row has the expected version. Commits are made on
    /// a runtime of their own, which makes no other calls.
    fn commit(&self, group: &str, batch: Batch) -> impl Future<Output = CommitOutcome> + Send;

    /// Reads at most `most` rows of a group's table: those after a key, or the first ones.
    fn read_page(
        &self,
        group: &str,
        table: &str,
        after: Option<&str>,
        most: usize,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Reads one row, and the store's steady clock.
    fn read_row(
        &self,
        group: &str,
        table: &str,
        key: &str,
    ) -> impl Future<Output = Result<(Option<Row>, Millis), StoreError>> + Send;

    /// Reads the claim row of a group, and the store's steady clock. A call made while another is
    /// unanswered uses a different connection.
    fn read_claim(
        &self,
        group: &str,
    ) -> impl Future<Output = Result<(Option<Row>, Millis), StoreError>> + Send;

    /// Reads the list of endpoints and the evacuations of failure domains.
    fn read_endpoints(&self) -> impl Future<Output = Result<EndpointList, StoreError>> + Send;

    /// Reads the operator's configuration. The answer may take seconds to arrive, as long as some
    /// of it keeps arriving.
    fn read_configuration(
        &self,
        query: ConfigurationQuery,
        progress: ReadProgress,
    ) -> impl Future<Output = Result<ConfigurationReading, StoreError>> + Send;
}

/// Timeout of a start or a stop, in milliseconds: many times what a healthy endpoint needs to
/// answer.
pub const ORDER_TIMEOUT_MS: Millis = 500;

/// Takes the lists of an endpoint that arrive after their hold's timeout.
pub type LateLists = oneshot::Sender<HoldReport>;

/// Sends orders to endpoints.
pub trait Endpoints: Clone + Send + Sync + 'static {
    /// Maximum number of ends in the answer to a hold; further ones follow once these are
    /// acknowledged.
    const MAX_LISTED_ENDS: usize;

    /// Starts a run.
    fn start(&self, order: StartOrder) -> impl Future<Output = StartAnswer> + Send;

    /// Stops a run.
    fn stop(&self, order: StopOrder) -> impl Future<Output = StopAnswer> + Send;

    /// Extends an endpoint's leases and reads its lists. Lists that arrive after the order's timeout
    /// go to `late`.
    fn hold(&self, order: HoldOrder, late: LateLists) -> impl Future<Output = HoldAnswer> + Send;
}

/// The advice service.
pub trait Advisor: Clone + Send + Sync + 'static {
    /// Asks which endpoints may run a step.
    fn advise(&self, order: AdviceOrder) -> impl Future<Output = AdviceAnswer> + Send;
}

/// Everything that a node needs from its platform.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Its store.
    type Store: Store;
    /// Its endpoints.
    type Endpoints: Endpoints;
    /// Its advice service.
    type Advisor: Advisor;

    /// Returns the store.
    fn store(&self) -> &Self::Store;
    /// Returns the endpoints.
    fn endpoints(&self) -> &Self::Endpoints;
    /// Returns the advice service.
    fn advisor(&self) -> &Self::Advisor;
}
