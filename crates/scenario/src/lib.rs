//! Test support for the state machines: simulated clusters, a scenario language, fault matrices and a model checker.

pub mod fakes;
pub mod group;
pub mod matrix;
pub mod model;
pub mod script;
