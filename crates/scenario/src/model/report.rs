//! Result of a search.

use {
    super::Bounds,
    crate::fakes::Violation,
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Result of a search.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Bounds of the search.
    pub bounds: Bounds,
    /// Different states that were reached.
    pub states: usize,
    /// Steps that were tried.
    pub transitions: usize,
    /// Longest path.
    pub depth: u32,
    /// Whether the search ended because every state was explored, rather than at the bound on steps or states.
    pub is_complete: bool,
    /// Rules that did not hold at the end of the trace.
    pub violations: Vec<Violation>,
    /// A shortest path to the first state in which a rule does not hold.
    pub trace: Vec<String>,
    /// Time that the search took.
    pub time: Duration,
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { bounds, states, transitions, depth, is_complete, violations, trace, time } = self;
        let end = if *is_complete { "complete" } else { "cut off" };
        write!(f, "bounds: {bounds}\n{states} states, {transitions} steps, depth {depth}, {end}, {time:.2?}")?;
        if !violations.is_empty() {
            write!(f, "\nbroken: {violations:?}")?;
        }
        for (number, step) in (1..).zip(trace) {
            write!(f, "\n{number:3} {step}")?;
        }
        Ok(())
    }
}
