//! Metrics in the text form that Prometheus reads.

use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

/// Why metrics can't be kept.
#[derive(Debug)]
pub struct MetricsError(BuildError);

impl std::fmt::Display for MetricsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "can't keep metrics: {}", self.0)
    }
}

impl std::error::Error for MetricsError {}

/// Bounds of the buckets of durations, in seconds.
const SECONDS: [f64; 12] = [
    0.000_01, 0.000_05, 0.000_2, 0.001, 0.005, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0,
];

/// The metrics of this process.
#[derive(Debug, Clone)]
pub struct MetricsHandle {
    handle: PrometheusHandle,
}

impl MetricsHandle {
    /// Opens the metrics of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if metrics were opened before.
    pub fn open() -> Result<Self, MetricsError> {
        let handle = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS)
            .and_then(PrometheusBuilder::install_recorder)
            .map_err(MetricsError)?;
        Ok(Self { handle })
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
