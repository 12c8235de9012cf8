//! Admission of calls that have to wait for a slot.
//!
//! Each service has a bounded queue per customer. Customers take turns by weight, measured in slot time. A
//! call that cannot be answered by its deadline is rejected immediately, so that slots are spent on calls
//! whose answers are still useful.

mod customer_queue;
mod fair_queue;
mod latency_estimate;
mod queue_limits;
mod queued_call;

pub use {
    fair_queue::FairQueue, latency_estimate::LatencyEstimate, queue_limits::QueueLimits, queued_call::QueuedCall,
};
