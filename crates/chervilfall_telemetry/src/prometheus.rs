//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

/// An error while installing the metrics recorder.
#[derive(Debug)]
pub struct MetricsError(BuildError);

impl std::fmt::Display for MetricsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "can't install the metrics recorder: {}", self.0)
    }
}

impl std::error::Error for MetricsError {}

/// Histogram bucket bounds for metrics whose names end in `_seconds`.
const SECONDS: [f64; 12] = [
    0.000_01, 0.000_05, 0.000_2, 0.001, 0.005, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0,
];

/// Handle to the metrics of this process.
#[derive(Debug, Clone)]
pub struct MetricsHandle {
    handle: PrometheusHandle,
}

impl MetricsHandle {
    /// Installs the metrics recorder of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if a recorder is already installed.
    pub fn open() -> Result<Self, MetricsError> {
        let handle = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS)
            .and_then(PrometheusBuilder::install_recorder)
            .map_err(MetricsError)?;
        Ok(Self { handle })
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
