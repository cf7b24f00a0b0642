//! A metrics recorder that keeps counters in memory.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};

/// Counters by name and labels, as in `name{label=value,...}`.
#[derive(Debug, Default)]
pub struct Counters {
    values: Mutex<BTreeMap<String, Arc<AtomicU64>>>,
}

impl Counters {
    /// Returns the counters whose name is `name` that are not 0, by their labels.
    pub fn of(&self, name: &str) -> BTreeMap<String, u64> {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let own = values.iter().filter_map(|(key, value)| {
            let labels = key.strip_prefix(name)?.strip_prefix('{')?;
            let labels = labels.strip_suffix('}')?;
            Some((labels.to_owned(), value.load(Ordering::Relaxed)))
        });
        own.filter(|(_, value)| *value > 0).collect()
    }
}

impl Recorder for Counters {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let labels = key.labels();
        let labels: Vec<String> = labels
            .map(|label| format!("{}={}", label.key(), label.value()))
            .collect();
        let name = format!("{}{{{}}}", key.name(), labels.join(","));
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        Counter::from_arc(Arc::clone(values.entry(name).or_default()))
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}
