//! Scenario language and fault matrix against the state machines (test support).

pub mod fakes;
pub mod matrix;
