//! The retry allowance: how many calls of a service may be tried a second time.
//!
//! Tokens are minted by the first entry of a chain only, so that the levels of a chain share one allowance.
//! A token is in one place at a time: in the budget of the first entry, with the call at one entry, or on its
//! way further down in [`ALLOWANCE_HEADER`].
//!
//! In a fleet, each entry counts the extra attempts of a service in a [`SlidingBudget`] instead.

mod budget;
mod sliding_budget;
mod token;

pub use {
    budget::RetryBudget,
    sliding_budget::SlidingBudget,
    token::{ALLOWANCE_HEADER, forwards_token, may_use_token},
};
