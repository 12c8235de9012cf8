//! What is measured: sizes, policies, conditions, and their options.

use {
    gumdrop::Options,
    std::{path::PathBuf, str::FromStr},
};

/// Loads of the quiet condition, in percent of the capacity of all slots.
pub const LOADS: [u32; 4] = [60, 85, 100, 150];
/// Load of the conditions with one server at fault.
pub const FAULT_LOAD: u32 = 85;
/// Load of the conditions with a noisy customer, who gets less than demanded only under overload.
pub const NOISY_LOAD: u32 = 150;

#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "brno (2 slots) or buenos-aires (4 slots); may be repeated, both by default", no_short)]
    pub size: Vec<Size>,
    #[options(
        help = "quiet, straggler, fail-fast, leaving, noisy-one or noisy-all; may be repeated, all by default",
        no_short
    )]
    pub condition: Vec<Condition>,
    #[options(help = "load in percent of the capacity; may be repeated, instead of those of the condition", no_short)]
    pub load: Vec<u32>,
    #[options(
        help = "permits, ideal, least-in-flight, random or round-robin; may be repeated, instead of those of the \
                condition",
        no_short
    )]
    pub policy: Vec<Policy>,
    #[options(help = "seconds measured for each row", default = "3", no_short)]
    pub seconds: f64,
    #[options(help = "threads of each entry that serve callers", default = "2", no_short)]
    pub workers: u32,
    #[options(help = "seed of the arrival times and service times", default = "1", no_short)]
    pub seed: u64,
    #[options(help = "file that the rows are written to as CSV", no_short, meta = "FILE")]
    pub out: Option<PathBuf>,
}

/// Size of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    Brno,
    BuenosAires,
}

/// How an entry chooses a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Permits,
    /// One single entry with permits, which sees every call and so counts the slots exactly.
    Ideal,
    LeastInFlight,
    Random,
    RoundRobin,
}

/// State of the servers and customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Quiet,
    /// One server is 10 times slower.
    Straggler,
    /// One server answers 500 at once.
    FailFast,
    /// One server leaves a third of the way into the run.
    Leaving,
    /// One customer calls 10 times as much as each other one, through one entry.
    NoisyOne,
    /// The same through all entries.
    NoisyAll,
}

impl Size {
    pub const ALL: [Self; 2] = [Self::Brno, Self::BuenosAires];

    pub fn name(self) -> &'static str {
        match self {
            Self::Brno => "brno",
            Self::BuenosAires => "buenos-aires",
        }
    }

    /// Returns slots, mean service time in ms and probe time in ms. The service times make the capacity of
    /// 20 servers 4,000 calls/s at both sizes.
    pub fn server(self) -> (u32, u32, u32) {
        match self {
            Self::Brno => (2, 10, 0),
            Self::BuenosAires => (4, 20, 6),
        }
    }
}

impl Policy {
    pub const ALL: [Self; 5] = [Self::Ideal, Self::Permits, Self::LeastInFlight, Self::Random, Self::RoundRobin];

    pub fn name(self) -> &'static str {
        match self {
            Self::Permits => "permits",
            Self::Ideal => "ideal",
            Self::LeastInFlight => "least-in-flight",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
        }
    }

    /// Returns the name in the operators' text.
    pub fn text(self) -> &'static str {
        match self {
            Self::Ideal => Self::Permits.name(),
            policy => policy.name(),
        }
    }
}

impl Condition {
    pub const ALL: [Self; 6] =
        [Self::Quiet, Self::Straggler, Self::FailFast, Self::Leaving, Self::NoisyOne, Self::NoisyAll];

    pub fn name(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Straggler => "straggler",
            Self::FailFast => "fail-fast",
            Self::Leaving => "leaving",
            Self::NoisyOne => "noisy-one",
            Self::NoisyAll => "noisy-all",
        }
    }

    pub fn is_noisy(self) -> bool {
        matches!(self, Self::NoisyOne | Self::NoisyAll)
    }

    /// Returns the loads that are measured by default.
    pub fn loads(self) -> &'static [u32] {
        match self {
            Self::Quiet => &LOADS,
            Self::NoisyOne | Self::NoisyAll => &[NOISY_LOAD],
            _ => &[FAULT_LOAD],
        }
    }

    /// Returns whether a policy is measured by default.
    pub fn includes(self, policy: Policy) -> bool {
        match (self, policy) {
            (Self::Quiet, _) => true,
            // With one entry both conditions are the same.
            (Self::NoisyOne, Policy::Ideal) | (_, Policy::RoundRobin) => false,
            _ => true,
        }
    }
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        find(&Self::ALL, Self::name, text)
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        find(&Self::ALL, Self::name, text)
    }
}

impl FromStr for Condition {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        find(&Self::ALL, Self::name, text)
    }
}

fn find<T: Copy>(all: &[T], name: fn(T) -> &'static str, text: &str) -> Result<T, String> {
    all.iter().copied().find(|one| name(*one) == text).ok_or_else(|| {
        let names: Vec<_> = all.iter().map(|one| name(*one)).collect();
        format!("'{text}' is none of {}", names.join(", "))
    })
}
