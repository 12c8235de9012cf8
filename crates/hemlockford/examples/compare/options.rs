//! Sizes, policies and conditions to measure, and the command-line options that select them.

use {
    gumdrop::Options,
    std::{path::PathBuf, str::FromStr},
};

/// Loads of the quiet condition, in percent of the capacity of all slots.
pub const QUIET_LOADS: [u32; 4] = [60, 85, 100, 150];
/// Load of the conditions with one faulty server, in percent of the capacity.
pub const FAULT_LOAD: u32 = 85;
/// Load of the conditions with a noisy customer, in percent of the capacity. Fair sharing limits that customer only
/// under overload.
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
    #[options(
        help = "load in percent of the capacity; may be repeated, replaces the loads of the condition",
        no_short
    )]
    pub load: Vec<u32>,
    #[options(
        help = "permits, ideal, least-in-flight, random or round-robin; may be repeated, replaces the policies of \
                the condition",
        no_short
    )]
    pub policy: Vec<Policy>,
    #[options(help = "duration of the measurement of each row in seconds", default = "3", no_short)]
    pub seconds: f64,
    #[options(help = "worker threads of each entry", default = "2", no_short)]
    pub workers: u32,
    #[options(help = "random seed of the arrival and service times", default = "1", no_short)]
    pub seed: u64,
    #[options(help = "CSV file to write the rows to", no_short, meta = "FILE")]
    pub out: Option<PathBuf>,
}

/// Number of slots and service times of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    Brno,
    BuenosAires,
}

/// How an entry chooses a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Permits,
    /// Permits with a single entry, which sees every call and therefore has exact slot counts.
    Ideal,
    LeastInFlight,
    Random,
    RoundRobin,
}

/// State of the servers and the customers during a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Quiet,
    /// One server is 10 times slower.
    Straggler,
    /// One server answers every call with status 500 immediately.
    FailFast,
    /// One server leaves after a third of the run.
    Leaving,
    /// One customer sends 10 times as many calls as each other customer, through one entry.
    NoisyOne,
    /// The same as `NoisyOne`, but through all entries.
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

    /// Returns the number of slots, the mean service time in ms and the probe time in ms. With these service times,
    /// 20 servers have a capacity of 4,000 calls/s at both sizes.
    pub fn server_parameters(self) -> (u32, u32, u32) {
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

    /// Returns the value of `policy` in the configuration.
    pub fn config_value(self) -> &'static str {
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
    pub fn default_loads(self) -> &'static [u32] {
        match self {
            Self::Quiet => &QUIET_LOADS,
            Self::NoisyOne | Self::NoisyAll => &[NOISY_LOAD],
            _ => &[FAULT_LOAD],
        }
    }

    /// Returns whether a policy is measured by default.
    pub fn includes_by_default(self, policy: Policy) -> bool {
        match (self, policy) {
            (Self::Quiet, _) => true,
            // With a single entry, both noisy conditions are the same.
            (Self::NoisyOne, Policy::Ideal) | (_, Policy::RoundRobin) => false,
            _ => true,
        }
    }
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        find_by_name(&Self::ALL, Self::name, text)
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        find_by_name(&Self::ALL, Self::name, text)
    }
}

impl FromStr for Condition {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        find_by_name(&Self::ALL, Self::name, text)
    }
}

fn find_by_name<T: Copy>(all: &[T], name: fn(T) -> &'static str, text: &str) -> Result<T, String> {
    all.iter().copied().find(|value| name(*value) == text).ok_or_else(|| {
        let names: Vec<_> = all.iter().map(|value| name(*value)).collect();
        format!("'{text}' is not one of {}", names.join(", "))
    })
}
