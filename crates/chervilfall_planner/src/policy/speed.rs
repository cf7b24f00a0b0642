//! Speed of endpoints, learned from steps whose tasks ran on several endpoints.
//!
//! Estimates are off by a factor of two, so the duration of a single run says little. The tasks of
//! a step do similar work, however, so their relative durations show how fast their endpoints are.
//! On a fleet whose endpoints differ in speed by up to a quarter from the usual, short requests
//! with an objective of 1.5 times their work were late on slow endpoints.

use slotmap::SlotMap;

use crate::endpoint::{Endpoint, EndpointKey};
use crate::ids::Millis;

/// Minimum weight of a new sample. About the last ten samples count, so a disturbance shows within
/// a few runs and is forgotten as quickly.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Bounds of a sample, which limit the effect of an outlier.
const SAMPLE_MIN: f64 = 0.1;
const SAMPLE_MAX: f64 = 2.0;
/// Speed ratio between adjacent [`SpeedClass`]es: the difference that ten samples of tasks that
/// vary by a fifth can resolve.
const CLASS_RATIO: f64 = 1.2;
/// Speed class from which downward an endpoint is lagging: under 0.6 of the usual speed.
const LAGGING: SpeedClass = SpeedClass(-3);

/// Speed in coarse logarithmic steps; 0 is the usual speed, higher is faster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SpeedClass(pub(crate) i8);

impl SpeedClass {
    /// Returns whether the endpoint is so slow that almost any other is preferable.
    pub(crate) const fn is_lagging(self) -> bool {
        self.0 <= LAGGING.0
    }
}

/// Estimated speed of an endpoint; 1 is the usual speed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    relative: f64,
    samples: u32,
    /// Class of `relative`, cached because it is read far more often than it changes.
    speed_class: SpeedClass,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            relative: 1.0,
            samples: 0,
            speed_class: SpeedClass(0),
        }
    }
}

impl Speed {
    fn note(&mut self, sample: f64) {
        let sample = sample.clamp(SAMPLE_MIN, SAMPLE_MAX);
        let weight = (1.0 / f64::from(self.samples + 2)).max(SAMPLE_WEIGHT);
        self.relative += weight * (sample - self.relative);
        self.samples = self.samples.saturating_add(1);
        let steps = (self.relative.ln() / CLASS_RATIO.ln()).round();
        // The bounds of a sample keep it between -13 and 4.
        #[allow(clippy::cast_possible_truncation)]
        let steps = steps as i8;
        self.speed_class = SpeedClass(steps);
    }

    /// Returns how long work that takes `usual_ms` at the usual speed takes at this one.
    // Durations are far below the precision limit of a float, and the speed is positive.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn duration_ms(self, usual_ms: Millis) -> Millis {
        (usual_ms as f64 / self.relative) as Millis
    }

    /// Returns how long work that takes `own_ms` at this speed takes at the usual one.
    // Durations are far below the precision limit of a float, and the speed is positive.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn usual_ms(self, own_ms: Millis) -> Millis {
        (own_ms as f64 * self.relative) as Millis
    }

    /// Returns the speed class.
    pub(crate) const fn speed_class(self) -> SpeedClass {
        self.speed_class
    }
}

/// Duration of a completed run on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DurationSample {
    pub(crate) endpoint: EndpointKey,
    pub(crate) ms: Millis,
}

/// Updates the speeds of endpoints from the runs of a completed step.
pub(crate) fn learn_speeds(
    runs: &[DurationSample],
    endpoints: &mut SlotMap<EndpointKey, Endpoint>,
) {
    if runs.len() < 2 {
        return;
    }
    let work = |run: &DurationSample| {
        let endpoint = endpoints.get(run.endpoint);
        let relative = endpoint.map_or(1.0, |endpoint| endpoint.speed.relative);
        run.ms.max(1) as f64 * relative
    };
    let works: Vec<f64> = runs.iter().map(work).collect();
    let sum: f64 = works.iter().sum();
    for (run, work) in runs.iter().zip(&works) {
        let others = (sum - work) / (works.len() - 1) as f64;
        if let Some(endpoint) = endpoints.get_mut(run.endpoint) {
            endpoint.speed.note(others / run.ms.max(1) as f64);
        }
    }
}
