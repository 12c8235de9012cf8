//! Test support: scripted scenarios and fault matrices against the state machines of hemlockford.

pub mod fakes;
pub mod matrix;
pub mod script;
