//! Admission of calls that have to wait for a slot.
//!
//! Each service has a bounded queue per customer. Customers take turns by weight, measured in slot time, and
//! a call that cannot be answered within its deadline leaves at once, so that slots are spent on calls whose
//! answers still count.

mod customer_queue;
mod fair_queue;
mod pace;
mod terms;
mod waiting;

pub use {fair_queue::FairQueue, pace::Pace, terms::Terms, waiting::Waiting};
