//! Limits on retries of failed calls.
//!
//! Only the first entry of a call chain issues retry tokens, so that all levels of the chain share one limit.
//! A token is in one place at a time: in the budget of the first entry, with the call at one entry, or on its
//! way to the next level in [`ALLOWANCE_HEADER`].
//!
//! In a fleet, each entry limits the extra attempts of a service by a [`SlidingBudget`] instead.

mod budget;
mod sliding_budget;
mod token;

pub use {
    budget::RetryBudget,
    sliding_budget::SlidingBudget,
    token::{ALLOWANCE_HEADER, forwards_token, may_use_token},
};
