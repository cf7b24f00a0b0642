//! Histories: what callers, operators and faults do, and when.

use quickcheck::{Arbitrary, Gen};

/// Kind of a submitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// An idempotent call.
    Check,
    /// A non-idempotent call.
    Match,
    /// A batch job whose tasks may run again.
    Batch,
    /// A batch job whose tasks must not run again.
    BatchOnce,
    /// A gang job.
    Gang,
    /// A service.
    Service,
}

impl WorkKind {
    const ALL: [Self; 6] = [
        Self::Check,
        Self::Match,
        Self::Batch,
        Self::BatchOnce,
        Self::Gang,
        Self::Service,
    ];
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepKind {
    /// A caller submits a request with the next key.
    Submit {
        /// Its kind.
        kind: WorkKind,
        /// Entry instance that takes it.
        entry: u8,
    },
    /// A caller repeats an earlier request.
    Repeat {
        /// Which one.
        request: u8,
        /// Entry instance that takes it.
        entry: u8,
    },
    /// A caller cancels an earlier request.
    Cancel {
        /// Which one.
        request: u8,
        /// Entry instance that takes it.
        entry: u8,
    },
    /// A caller looks up the answer to an earlier request.
    LookUp {
        /// Which one.
        request: u8,
        /// Entry instance that takes the look-up.
        entry: u8,
        /// How long it waits for the final answer, in milliseconds.
        wait_ms: u16,
    },
    /// An entry instance is killed and replaced.
    Kill {
        /// Which one.
        entry: u8,
        /// How long until it is replaced, in milliseconds.
        gone_ms: u16,
    },
    /// An entry instance stops as planned and is replaced.
    Stop {
        /// Which one.
        entry: u8,
    },
    /// An entry instance is paused.
    Pause {
        /// Which one.
        entry: u8,
        /// For how long, in milliseconds.
        for_ms: u16,
    },
    /// A failure domain is cut off from all others and from the platform.
    CutDomain {
        /// Which one.
        domain: u8,
        /// For how long, in milliseconds.
        for_ms: u16,
    },
    /// Two entry instances are cut off from each other.
    CutPair {
        /// One.
        from: u8,
        /// The other.
        to: u8,
        /// For how long, in milliseconds.
        for_ms: u16,
    },
    /// The table is away.
    Outage {
        /// For how long, in milliseconds.
        for_ms: u16,
    },
    /// Answers of the table are lost after the write took effect.
    LoseAnswers {
        /// For how long, in milliseconds.
        for_ms: u16,
    },
    /// Calls to agents are slow, late and doubled.
    SlowAgents {
        /// For how long, in milliseconds.
        for_ms: u16,
    },
    /// An endpoint is frozen.
    Freeze {
        /// Which one.
        endpoint: u8,
        /// For how long, in milliseconds.
        for_ms: u16,
    },
    /// An endpoint fails everything.
    FailEverything {
        /// Which one.
        endpoint: u8,
        /// For how long, in milliseconds.
        for_ms: u16,
    },
    /// An endpoint is leaving.
    Leave {
        /// Which one.
        endpoint: u8,
    },
    /// Two operators change the configuration at a time.
    Configure {
        /// Instance of the first.
        first: u8,
        /// Instance of the second.
        second: u8,
    },
}

/// A step and the time since the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the step before, in milliseconds.
    pub after_ms: u16,
    /// What happens.
    pub kind: StepKind,
}

/// A history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct History {
    /// Seed of delays and of the engines.
    pub seed: u64,
    /// The steps, in order.
    pub steps: Vec<Step>,
}

/// Size of generated histories: the most steps of one.
const SIZE: usize = 80;

/// Returns the history of a seed; the same seed gives the same history.
#[must_use]
pub fn generate(seed: u64) -> History {
    History::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed))
}

/// Distance of the seed of a history's look-ups from that of its other steps.
const LOOK_UP_SEED: u64 = 1 << 40;

/// Returns the history of a seed with look-ups between its steps; the steps themselves stay as
/// [`generate`] gives them, so that seeds which once failed keep their meaning.
#[must_use]
pub fn generate_with_look_ups(seed: u64) -> History {
    let plain = generate(seed);
    let gen = &mut Gen::from_size_and_seed(SIZE, seed ^ LOOK_UP_SEED);
    let mut steps = Vec::new();
    for step in plain.steps {
        steps.push(step);
        if bool::arbitrary(gen) {
            steps.push(look_up(gen));
        }
    }
    History {
        seed: plain.seed,
        steps,
    }
}

fn look_up(gen: &mut Gen) -> Step {
    let wait_ms = if bool::arbitrary(gen) {
        below(gen, MAX_LOOK_UP_MS)
    } else {
        0
    };
    Step {
        after_ms: below(gen, MAX_GAP_MS),
        kind: StepKind::LookUp {
            request: u8::arbitrary(gen),
            entry: u8::arbitrary(gen),
            wait_ms,
        },
    }
}

/// Longest wait of a look-up, in milliseconds.
const MAX_LOOK_UP_MS: u16 = 2_000;
/// Longest fault, in milliseconds: longer than every lease.
const MAX_FAULT_MS: u16 = 12_000;
/// Longest time between two steps, in milliseconds.
const MAX_GAP_MS: u16 = 700;

fn below(gen: &mut Gen, bound: u16) -> u16 {
    u16::arbitrary(gen) % bound
}

impl Arbitrary for StepKind {
    fn arbitrary(gen: &mut Gen) -> Self {
        let byte = u8::arbitrary;
        let for_ms = below(gen, MAX_FAULT_MS);
        match u8::arbitrary(gen) % 40 {
            0..=18 => Self::Submit {
                kind: *gen.choose(&WorkKind::ALL).unwrap_or(&WorkKind::Check),
                entry: byte(gen),
            },
            19..=22 => Self::Repeat {
                request: byte(gen),
                entry: byte(gen),
            },
            23..=24 => Self::Cancel {
                request: byte(gen),
                entry: byte(gen),
            },
            25..=26 => Self::Kill {
                entry: byte(gen),
                gone_ms: for_ms / 2,
            },
            27 => Self::Stop { entry: byte(gen) },
            28..=29 => Self::Pause {
                entry: byte(gen),
                for_ms,
            },
            30..=31 => Self::CutDomain {
                domain: byte(gen),
                for_ms,
            },
            32 => Self::CutPair {
                from: byte(gen),
                to: byte(gen),
                for_ms,
            },
            33 => Self::Outage { for_ms },
            34 => Self::LoseAnswers { for_ms },
            35 => Self::SlowAgents { for_ms },
            36 => Self::Freeze {
                endpoint: byte(gen),
                for_ms,
            },
            37 => Self::FailEverything {
                endpoint: byte(gen),
                for_ms,
            },
            38 => Self::Leave {
                endpoint: byte(gen),
            },
            _ => Self::Configure {
                first: byte(gen),
                second: byte(gen),
            },
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        Self {
            after_ms: below(gen, MAX_GAP_MS),
            kind: StepKind::arbitrary(gen),
        }
    }
}

impl Arbitrary for History {
    fn arbitrary(gen: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(gen),
            steps: Vec::arbitrary(gen),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        let shrunk = self.steps.shrink();
        Box::new(shrunk.map(move |steps| Self { seed, steps }))
    }
}
