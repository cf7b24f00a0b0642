//! Number of endpoints that a call to the advice service names.
//!
//! A call takes longer with each endpoint that it names, and a node makes one call at a time. A call
//! therefore names only as many endpoints as the waiting tasks need, by the share of endpoints that
//! the service has granted to steps of the queue so far.

/// Number of answers about endpoints from which the share of a queue is known. With 200 answers
/// the standard error of a share of a quarter is 0.03.
const MIN_ANSWERS: f64 = 200.0;
/// Number of answers at which older ones begin to count less, so that the share follows a change of
/// the service's rules.
const MAX_ANSWERS: f64 = 10.0 * MIN_ANSWERS;
/// Minimum number of endpoints that a call names, if there are that many. Most of a call's duration
/// does not depend on the number of endpoints.
const MIN_ENDPOINTS: usize = 10;

/// Share of the endpoints that the advice service grants to steps of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GrantShare {
    answers: f64,
    granted: f64,
}

impl GrantShare {
    /// Records the answers about endpoints that were not asked about for the step before. Repeated
    /// answers about granted endpoints would bias the share.
    pub fn record(&mut self, answers: u32, granted: u32) {
        self.answers += f64::from(answers);
        self.granted += f64::from(granted.min(answers));
        if self.answers > MAX_ANSWERS {
            self.answers /= 2.0;
            self.granted /= 2.0;
        }
    }

    /// Returns the share; none until enough answers are known.
    #[must_use]
    pub fn share(&self) -> Option<f64> {
        (self.answers >= MIN_ANSWERS).then(|| self.granted / self.answers)
    }
}

/// Number of tasks that fit on granted endpoints, as a random variable.
#[derive(Debug, Clone, Copy, Default)]
struct FittingTasks {
    mean: f64,
    variance: f64,
}

impl FittingTasks {
    /// Adds an endpoint for `tasks` tasks that is granted with a probability of `share`.
    fn add(&mut self, share: f64, tasks: u32) {
        let tasks = f64::from(tasks);
        self.mean += share * tasks;
        self.variance += share * (1.0 - share) * tasks * tasks;
    }

    /// Returns whether the mean, less one standard deviation, is enough for `waiting` tasks.
    fn covers(&self, waiting: u32) -> bool {
        self.mean - self.variance.sqrt() >= f64::from(waiting)
    }
}

/// What is known about a step when a call for it is sized.
#[derive(Debug, Clone, Copy)]
pub struct CallNeed<'a> {
    /// Share of the endpoints that are granted.
    pub share: f64,
    /// Number of tasks that wait.
    pub waiting: u32,
    /// Number of tasks that fit on endpoints that are granted already.
    pub granted: u32,
    /// Number of tasks that fit on each endpoint named by the calls in flight.
    pub in_flight: &'a [u32],
    /// The same for each endpoint that the call could name, in order of preference.
    pub candidates: &'a [u32],
}

/// Returns how many of the candidates a call names; 0 if the calls in flight should be enough.
#[must_use]
pub fn call_size(need: &CallNeed) -> usize {
    let mut fitting = FittingTasks::default();
    fitting.add(1.0, need.granted);
    for tasks in need.in_flight {
        fitting.add(need.share, *tasks);
    }
    if fitting.covers(need.waiting) {
        return 0;
    }
    let enough = need.candidates.iter().position(|tasks| {
        fitting.add(need.share, *tasks);
        fitting.covers(need.waiting)
    });
    let size = enough.map_or(need.candidates.len(), |index| index + 1);
    size.max(MIN_ENDPOINTS).min(need.candidates.len())
}
