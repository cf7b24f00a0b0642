//! Interfaces to the platform that a node runs on.

use std::future::Future;

use chervilfall_planner::{
    AdviceAnswer, AdviceOrder, Batch, CommitOutcome, EndpointEntry, HoldAnswer, HoldOrder, Millis,
    RowVersion, StartAnswer, StartOrder, StopAnswer, StopOrder,
};

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
}

/// Result of reading the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationReading {
    /// There is no configuration.
    Absent,
    /// The row has the version that is known.
    Unchanged,
    /// The row has another version.
    Changed {
        /// Version of the row.
        version: RowVersion,
        /// Its content.
        table: RouteTable,
    },
    /// The row has another version and cannot be decoded completely.
    Unreadable {
        /// Version of the row.
        version: RowVersion,
        /// What cannot be decoded, with the field's path.
        error: String,
    },
}

/// The platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Writes a batch to a group's tables if the claim row has the expected version.
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

    /// Reads the list of endpoints.
    fn read_endpoints(&self) -> impl Future<Output = Result<EndpointList, StoreError>> + Send;

    /// Reads the operator's configuration, unless its row has the version `known`.
    fn read_configuration(
        &self,
        known: Option<RowVersion>,
    ) -> impl Future<Output = Result<ConfigurationReading, StoreError>> + Send;
}

/// Sends orders to endpoints.
pub trait Endpoints: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, order: StartOrder) -> impl Future<Output = StartAnswer> + Send;

    /// Stops a run.
    fn stop(&self, order: StopOrder) -> impl Future<Output = StopAnswer> + Send;

    /// Extends an endpoint's leases and reads its lists.
    fn hold(&self, order: HoldOrder) -> impl Future<Output = HoldAnswer> + Send;
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
