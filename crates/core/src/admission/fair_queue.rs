//! Weighted fair queue of the waiting calls of one service.

use {
    super::{LatencyEstimate, QueueLimits, QueuedCall, customer_queue::CustomerQueue},
    crate::{
        collections::FastMap,
        ids::{CallId, CustomerId},
        outcome::NotRunReason,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Substitute for a weight of zero: the customer is served only when hardly anyone else waits, and the search
/// for the next call stays short.
const MIN_WEIGHT: f64 = 0.05;

/// Deficit with which a customer joins the rotation, in units of one look-up's slot time.
const INITIAL_DEFICIT: f64 = 1.0;

/// Waiting calls of one service in bounded per-customer queues, served by weighted deficit round robin. A
/// customer without waiting calls gives up its share to the others.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: FastMap<CustomerId, CustomerQueue>,
    rotation: VecDeque<CustomerId>,
    len: usize,
    uploads: usize,
    /// Greatest weight of the waiting customers; it earns one look-up per round.
    max_weight: f64,
}

impl FairQueue {
    /// Adds a call, unless the customer's queue is full or the call could not be answered by its deadline.
    ///
    /// A call that would be rejected later is rejected immediately, so that the caller has time to try again.
    pub fn try_push(
        &mut self,
        now: Instant,
        customer: &str,
        queued: QueuedCall,
        latency_estimate: &LatencyEstimate,
        limits: QueueLimits,
    ) -> Result<(), NotRunReason> {
        let QueueLimits { weight, max_calls, slots } = limits;
        let wait = self.estimate_wait(customer, weight, latency_estimate, slots);
        if now + wait + latency_estimate.upper_bound(queued.upload) > queued.deadline {
            return Err(NotRunReason::Deadline);
        }
        if self.customers.get(customer).map_or(0, CustomerQueue::len) >= max_calls {
            return Err(NotRunReason::QueueFull);
        }
        self.push_unchecked(customer, weight, queued);
        Ok(())
    }

    /// Adds a call that was admitted before, without checking its deadline or the queue's length.
    pub fn push_unchecked(&mut self, customer: &str, weight: f64, queued: QueuedCall) {
        let queue = self.customers.entry(customer.into()).or_default();
        queue.weight = weight.max(MIN_WEIGHT);
        self.max_weight = self.max_weight.max(queue.weight);
        queue.push_back(queued);
        if !queue.is_in_rotation {
            // A customer that had nothing queued has given up its share, so its first call is next. A
            // customer whose queue was emptied keeps its place until its turn comes, so that it gains nothing
            // by sending short bursts.
            queue.is_in_rotation = true;
            queue.deficit = INITIAL_DEFICIT;
            queue.customer = customer.into();
            self.rotation.push_front(customer.into());
        }
        self.len += 1;
        self.uploads += usize::from(queued.upload);
    }

    /// Estimates how long one more call of a customer would wait: the customer's queue drains by its weight
    /// among the waiting customers, and no later than the whole queue would in order of arrival.
    pub fn estimate_wait(
        &self,
        customer: &str,
        weight: f64,
        latency_estimate: &LatencyEstimate,
        slots: u32,
    ) -> Duration {
        if slots == 0 || self.len == 0 {
            // The wait is unknown without slots; the deadline still bounds it.
            return Duration::ZERO;
        }
        let own = self.customers.get(customer).map_or(0, CustomerQueue::len) as f64;
        let weight = weight.max(MIN_WEIGHT);
        let other_customers = self.rotation.iter().filter(|name| &***name != customer);
        let others: f64 = other_customers.filter_map(|name| self.customers.get(name)).map(|queue| queue.weight).sum();
        let calls_ahead = ((own + 1.0) * (others + weight) / weight).min(self.len as f64 + 1.0);
        let lookups = (self.len - self.uploads) as f64 * latency_estimate.mean(false).as_secs_f64();
        let uploads = self.uploads as f64 * latency_estimate.mean(true).as_secs_f64();
        Duration::from_secs_f64(calls_ahead * (lookups + uploads) / self.len as f64 / f64::from(slots))
    }

    /// Takes the next call by weight; uploads are skipped unless `with_uploads` is set.
    pub fn pop(&mut self, latency_estimate: &LatencyEstimate, with_uploads: bool) -> Option<(CustomerId, QueuedCall)> {
        let mut skipped = 0;
        if self.len == 0 {
            self.max_weight = MIN_WEIGHT;
        }
        while skipped < self.rotation.len() {
            let customer = self.rotation.front()?;
            let queue = self.customers.get_mut(customer)?;
            let Some(upload) = queue.next_is_upload(with_uploads) else {
                if queue.len() == 0 {
                    (queue.is_in_rotation, queue.deficit) = (false, 0.0);
                    let customer = self.rotation.pop_front()?;
                    self.customers.remove(&customer);
                } else {
                    self.rotation.rotate_left(1);
                    skipped += 1;
                }
                continue;
            };
            let cost = latency_estimate.cost(upload);
            if queue.deficit < cost {
                queue.deficit += queue.weight / self.max_weight;
                self.rotation.rotate_left(1);
                skipped = 0;
                continue;
            }
            queue.deficit -= cost;
            let queued = queue.pop(upload, cost)?;
            self.len -= 1;
            self.uploads -= usize::from(upload);
            return Some((queue.customer.clone(), queued));
        }
        None
    }

    /// Sets the weight of a customer, if it has waiting calls.
    pub fn set_weight(&mut self, customer: &str, weight: f64) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.weight = weight.max(MIN_WEIGHT);
            self.max_weight = self.max_weight.max(queue.weight);
        }
    }

    /// Removes a call; returns whether it was queued.
    pub fn remove(&mut self, customer: &str, call: CallId, upload: bool) -> bool {
        let is_removed = self.customers.get_mut(customer).is_some_and(|queue| queue.remove(call, upload));
        self.len -= usize::from(is_removed);
        self.uploads -= usize::from(is_removed && upload);
        is_removed
    }

    /// Removes and returns all calls.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        let names = std::mem::take(&mut self.rotation);
        let mut calls = Vec::with_capacity(self.len);
        for name in names {
            if let Some(mut queue) = self.customers.remove(&name) {
                calls.extend(queue.drain());
            }
        }
        (self.len, self.uploads) = (0, 0);
        calls
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the customers with waiting calls and the number of their calls.
    pub fn waiting_customers(&self) -> impl Iterator<Item = (&CustomerId, usize)> {
        self.rotation.iter().filter_map(|name| Some((name, self.customers.get(name)?.len())))
    }
}
