//! Report of a state space search.

use {
    super::Bounds,
    crate::fakes::Violation,
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Report of a state space search.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Bounds of the search.
    pub bounds: Bounds,
    /// Number of distinct states reached.
    pub states: usize,
    /// Number of steps tried.
    pub transitions: usize,
    /// Length of the longest path.
    pub depth: u32,
    /// Whether every reachable state was explored, rather than the search stopped at a bound on steps or states.
    pub is_complete: bool,
    /// Properties violated at the end of the trace.
    pub violations: Vec<Violation>,
    /// Shortest path to the first state in which a property is violated.
    pub trace: Vec<String>,
    /// Duration of the search.
    pub time: Duration,
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { bounds, states, transitions, depth, is_complete, violations, trace, time } = self;
        let end = if *is_complete { "complete" } else { "cut off" };
        write!(f, "bounds: {bounds}\n{states} states, {transitions} steps, depth {depth}, {end}, {time:.2?}")?;
        if !violations.is_empty() {
            write!(f, "\nviolated: {violations:?}")?;
        }
        for (number, step) in (1..).zip(trace) {
            write!(f, "\n{number:3} {step}")?;
        }
        Ok(())
    }
}
