//! Specification of a job as submitted by a caller.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::config::Queue;
use crate::ids::Millis;

/// Endpoints in the advice call that the objective allows for per step of the chain.
const OBJECTIVE_ADVICE: usize = 30;

/// Maximum number of tasks of a gang: they all start in one pass.
pub const MAX_GANG_TASKS: u32 = 10_000;
/// Maximum number of steps of a job: each is kept and visited by passes from the job's acceptance on.
pub const MAX_STEPS: usize = 256;
/// Latest time and longest duration that is taken from a job or a configuration, in milliseconds:
/// thousands of years, so that sums and small multiples do not overflow.
pub const MAX_TIME_MS: u64 = 1_000_000_000_000_000;

/// Thousandths of a core in a core.
const MILLI: u64 = 1_000;

/// Returns whether a field can be omitted from a row. Most steps use only a few of the fields.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A step: tasks of the same kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub count: u32,
    /// CPU of a task, in thousandths of a core.
    #[serde(skip_serializing_if = "is_default")]
    pub cpu_milli: u32,
    /// Memory of a task, in megabytes.
    #[serde(skip_serializing_if = "is_default")]
    pub memory_mb: u32,
    /// Accelerators of a task.
    #[serde(skip_serializing_if = "is_default")]
    pub gpus: u32,
    /// The caller's estimate of a task's duration.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indices of earlier steps that must have completed.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u16>,
    /// The tasks save checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpointing: bool,
    /// The tasks make progress only while all of them run.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// The tasks are slow if spread over several racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that an endpoint must have.
    #[serde(skip_serializing_if = "is_default")]
    pub required_label: Option<String>,
    /// Rack that holds the data.
    #[serde(skip_serializing_if = "is_default")]
    pub affinity: Option<String>,
    /// Maximum number of tasks of the step on one endpoint; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_endpoint: u32,
    /// Several runs of a task may overlap.
    #[serde(skip_serializing_if = "is_default")]
    pub allow_duplicates: bool,
    /// The tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Image that the tasks run; tasks with the same image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Limit on the tail latency of a task that serves users; 0 for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// The tasks use CPU left over by others and reserve none.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// Maximum number of tasks that the scheduler itself may make unavailable at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the maximum number of tasks of the step on one endpoint.
    pub(crate) const fn max_on_one_endpoint(&self) -> u32 {
        if self.max_per_endpoint == 0 {
            u32::MAX
        } else {
            self.max_per_endpoint
        }
    }

    /// Returns whether an endpoint with these labels may run its tasks.
    pub(crate) fn accepts_labels(&self, labels: &BTreeSet<String>) -> bool {
        let required = self.required_label.as_ref();
        required.is_none_or(|label| labels.contains(label))
    }

    /// Returns the memory that the step takes, in bytes.
    fn memory_bytes(&self) -> usize {
        let label_bytes = |label: &Option<String>| label.as_ref().map_or(0, String::len);
        size_of::<Self>()
            + size_of_val(self.after.as_slice())
            + label_bytes(&self.required_label)
            + label_bytes(&self.affinity)
            + self.image.len()
    }

    /// Returns the estimated work of all tasks, in core-milliseconds.
    fn core_ms(&self) -> u64 {
        let cpu_milli = u64::from(self.count) * u64::from(self.cpu_milli);
        cpu_milli.saturating_mul(self.estimate_ms) / MILLI
    }
}

/// A job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text passed with each start; if it is long, it is stored in a separate row.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub spec: String,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// Number of occurrences of a repeated job; 0 for a job that runs once, immediately.
    #[serde(default, skip_serializing_if = "is_default")]
    pub repeat_count: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "is_default")]
    pub first_due_unix_ms: u64,
    /// Time between occurrences.
    #[serde(default, skip_serializing_if = "is_default")]
    pub interval_ms: u64,
}

impl JobSpec {
    /// Returns how many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// Returns the memory that the job takes, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        let steps = self.steps.iter().map(Step::memory_bytes);
        let bytes = size_of::<Self>() + self.spec.len() + steps.sum::<usize>();
        bytes as u64
    }

    /// Returns the estimated work of one occurrence, in core-milliseconds.
    #[must_use]
    pub fn core_ms(&self) -> u64 {
        let steps = self.steps.iter().map(Step::core_ms);
        steps.sum()
    }

    /// Returns the longest chain of estimated work.
    #[must_use]
    pub fn chain_ms(&self) -> Millis {
        self.chain_with_ms(0)
    }

    /// Returns the longest chain of estimated work, with `each_ms` added for each step.
    fn chain_with_ms(&self, each_ms: Millis) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier = step
                .after
                .iter()
                .filter_map(|earlier| ends.get(usize::from(*earlier)));
            let begin = earlier.max().copied().unwrap_or(0);
            let end = begin.saturating_add(step.estimate_ms);
            ends.push(end.saturating_add(each_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the job's objective: the time after submission within which it should complete.
    #[must_use]
    pub fn objective_ms(&self, queue: &Queue) -> Millis {
        let advice_ms = queue
            .advice
            .map_or(0, |terms| terms.call_ms(OBJECTIVE_ADVICE));
        // Estimates in milliseconds are far below the precision limit of a float.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let stretched = (queue.stretch.max(0.0) * self.chain_with_ms(advice_ms) as f64) as Millis;
        let objective_ms = queue.target_latency_ms.saturating_add(stretched);
        objective_ms.min(MAX_TIME_MS)
    }

    /// Returns when an occurrence is due, in milliseconds since the Unix epoch; 0 for immediately.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        if self.repeat_count == 0 {
            return 0;
        }
        let after_first_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_due_unix_ms.saturating_add(after_first_ms)
    }
}
