//! Scenario language and fault matrices against the state machines (test support).

pub mod fakes;
pub mod group;
pub mod matrix;
pub mod model;
pub mod script;
