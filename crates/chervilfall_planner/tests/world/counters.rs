//! A metrics recorder that keeps counters and gauges in memory.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};

/// Values by name and labels, as in `name{label=value,...}`.
#[derive(Debug, Default)]
struct Series(Mutex<BTreeMap<String, Arc<AtomicU64>>>);

impl Series {
    fn value(&self, key: &Key) -> Arc<AtomicU64> {
        let labels = key.labels();
        let labels: Vec<String> = labels
            .map(|label| format!("{}={}", label.key(), label.value()))
            .collect();
        let name = format!("{}{{{}}}", key.name(), labels.join(","));
        let mut values = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(values.entry(name).or_default())
    }

    /// Returns the values whose name is `name` that are not 0, by their labels.
    fn of(&self, name: &str) -> BTreeMap<String, u64> {
        let values = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let own = values.iter().filter_map(|(key, value)| {
            let labels = key.strip_prefix(name)?.strip_prefix('{')?;
            let labels = labels.strip_suffix('}')?;
            Some((labels.to_owned(), value.load(Ordering::Relaxed)))
        });
        own.filter(|(_, value)| *value > 0).collect()
    }
}

/// Counters and gauges.
#[derive(Debug, Default)]
pub struct Counters {
    counters: Series,
    /// Bits of the gauges' values.
    gauges: Series,
}

impl Counters {
    /// Returns the counters whose name is `name` that are not 0, by their labels.
    pub fn of(&self, name: &str) -> BTreeMap<String, u64> {
        self.counters.of(name)
    }

    /// Returns the gauges whose name is `name` that are not 0, by their labels.
    pub fn gauges_of(&self, name: &str) -> BTreeMap<String, f64> {
        let gauges = self.gauges.of(name).into_iter();
        gauges
            .map(|(labels, bits)| (labels, f64::from_bits(bits)))
            .collect()
    }
}

impl Recorder for Counters {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(self.counters.value(key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(self.gauges.value(key))
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}
