//! Test support: scripted scenarios and faults against the state machines of hemlockford.

pub mod script;
