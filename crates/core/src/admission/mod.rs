//! Admission of calls that have to wait for a slot.
//!
//! Each service has a bounded queue per customer. Customers take turns by weight, measured in slot time, and
//! a call that cannot be answered within its deadline leaves at once, so that slots are spent on calls whose
//! answers still count.

mod call_time;
mod customer_queue;
mod fair_queue;
mod queue_limits;
mod waiting;

pub use {call_time::CallTime, fair_queue::FairQueue, queue_limits::QueueLimits, waiting::Waiting};
