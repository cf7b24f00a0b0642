//! How fast endpoints are, learned from tasks of one step that ran on several.
//!
//! Estimates are off by a factor of two, so that a run alone says little. But the tasks of a step do like work,
//! and how long one took against the others says how fast its endpoint is. On a fleet whose endpoints differ by
//! a quarter each way, short requests with an objective of 1.5 times their work were late on slow endpoints.

use slotmap::SlotMap;

use crate::endpoint::{Endpoint, EndpointKey};
use crate::ids::Millis;

/// Least weight of a new sample: about the last ten count, so that a disturbance shows within some runs and
/// is forgotten as soon.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Bounds of a sample, so that one odd run says no more than that.
const SAMPLE_MIN: f64 = 0.1;
const SAMPLE_MAX: f64 = 2.0;
/// Ratio of speeds that makes a difference of one in [`SpeedClass`]: what ten samples of tasks that differ by a
/// fifth can tell apart.
const PACE_RATIO: f64 = 1.2;
/// Pace from which on an endpoint is lagging: under 0.6 of the usual speed.
const LAGGING: SpeedClass = SpeedClass(-3);

/// Speed in coarse steps; 0 is the usual one, higher is faster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SpeedClass(pub(crate) i8);

impl SpeedClass {
    /// Returns whether work is better off nearly anywhere else.
    pub(crate) const fn is_lagging(self) -> bool {
        self.0 <= LAGGING.0
    }
}

/// What is known of an endpoint's speed; 1 is the usual one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    relative: f64,
    samples: u32,
    /// `relative` in coarse steps, which is asked for far more often than it changes.
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
        let steps = (self.relative.ln() / PACE_RATIO.ln()).round();
        // The bounds of samples keep it between -13 and 4.
        #[allow(clippy::cast_possible_truncation)]
        let steps = steps as i8;
        self.speed_class = SpeedClass(steps);
    }

    /// Returns the speed in coarse steps.
    pub(crate) const fn speed_class(self) -> SpeedClass {
        self.speed_class
    }
}

/// A run that is done: where, and how long it took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DurationSample {
    pub(crate) endpoint: EndpointKey,
    pub(crate) ms: Millis,
}

/// Learns from the runs of a step that is complete.
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
