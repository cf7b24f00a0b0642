//! What callers ask for.

use serde::{Deserialize, Serialize};

use crate::config::Queue;
use crate::ids::Millis;

/// Endpoints named in the call for advice that an objective allows for each step of the chain.
const OBJECTIVE_ADVICE: usize = 30;

/// Returns whether a field can be left out of a row: most steps use few of their fields.
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
    /// Processor share of a task, in thousandths of a core.
    #[serde(skip_serializing_if = "is_default")]
    pub cpu_milli: u32,
    /// Memory of a task, in megabytes.
    #[serde(skip_serializing_if = "is_default")]
    pub memory_mb: u32,
    /// Accelerators of a task.
    #[serde(skip_serializing_if = "is_default")]
    pub gpus: u32,
    /// The caller's rough guess of a task's duration.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Earlier steps that must have completed.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u16>,
    /// The tasks save checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpointing: bool,
    /// The tasks work only while all of them run.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// The tasks are slow when they are on several racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that an endpoint must have.
    #[serde(skip_serializing_if = "is_default")]
    pub required_label: Option<String>,
    /// Rack that holds the data.
    #[serde(skip_serializing_if = "is_default")]
    pub affinity: Option<String>,
    /// Most tasks of the step on one endpoint; 0 sets no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_endpoint: u32,
    /// Several runs of a task may overlap.
    #[serde(skip_serializing_if = "is_default")]
    pub allow_duplicates: bool,
    /// The tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Bound of the response times' tail, of a task that serves users; 0 for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// The tasks use what others leave over and reserve no processor share.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// Most tasks that may be away at the same time through the scheduler's own actions.
    #[serde(skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

/// A job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that each start carries; rows keep it apart.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub spec: String,
    /// Steps in their order.
    pub steps: Vec<Step>,
    /// Occurrences of a repeated job; 0 for a job that runs once at once.
    #[serde(default, skip_serializing_if = "is_default")]
    pub repeat_count: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "is_default")]
    pub first_due_unix_ms: u64,
    /// Time between occurrences.
    #[serde(default, skip_serializing_if = "is_default")]
    pub interval_ms: u64,
}

impl JobSpec {
    /// Returns how often the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// Returns the longest chain of estimated work.
    #[must_use]
    pub fn chain_ms(&self) -> Millis {
        self.chain_with_ms(0)
    }

    /// Returns the longest chain of estimated work, with `each_ms` more for each step.
    fn chain_with_ms(&self, each_ms: Millis) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier = step
                .after
                .iter()
                .filter_map(|earlier| ends.get(usize::from(*earlier)));
            let begin = earlier.max().copied().unwrap_or(0);
            ends.push(begin + step.estimate_ms + each_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the time from its submission in which the job should complete.
    #[must_use]
    pub fn objective_ms(&self, queue: &Queue) -> Millis {
        let advice_ms = queue
            .advice
            .map_or(0, |terms| terms.call_ms(OBJECTIVE_ADVICE));
        // An estimate is a number of milliseconds far below the precision of a float.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let stretched = (queue.stretch.max(0.0) * self.chain_with_ms(advice_ms) as f64) as Millis;
        queue.target_latency_ms + stretched
    }

    /// Returns when an occurrence is due, in milliseconds since 1970; 0 means at once.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        if self.repeat_count == 0 {
            return 0;
        }
        self.first_due_unix_ms + u64::from(occurrence) * self.interval_ms
    }
}
