//! Waiting calls of one service.

use {
    super::{CallTime, QueueLimits, Waiting, customer_queue::CustomerQueue},
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

/// Weight in place of zero: such a customer is served when nobody else waits, and the search for the next
/// call stays short.
const LEAST_WEIGHT: f64 = 0.05;

/// Slot time, in look-ups, that a customer may use at once when it starts to wait.
const FIRST_TURN: f64 = 1.0;

/// Waiting calls of one service in bounded queues by customer, served by weighted deficit round robin.
/// A customer that does not wait leaves its turns to the others.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: FastMap<CustomerId, CustomerQueue>,
    turns: VecDeque<CustomerId>,
    len: usize,
    uploads: usize,
    /// Greatest weight of those that wait, for which a turn is one look-up.
    greatest: f64,
}

impl FairQueue {
    /// Adds a call, unless the customer's queue is full or the call could not be answered in time.
    ///
    /// Refuses at once what would be refused later, so that the caller can come back in time.
    pub fn push(
        &mut self,
        now: Instant,
        customer: &str,
        waiting: Waiting,
        call_time: &CallTime,
        limits: QueueLimits,
    ) -> Result<(), NotRunReason> {
        let QueueLimits { weight, limit, slots } = limits;
        let wait = self.wait(customer, weight, call_time, slots);
        if now + wait + call_time.safe_time(waiting.upload) > waiting.deadline {
            return Err(NotRunReason::Deadline);
        }
        if self.customers.get(customer).map_or(0, CustomerQueue::len) >= limit {
            return Err(NotRunReason::QueueFull);
        }
        self.put(customer, weight, waiting);
        Ok(())
    }

    /// Adds a call without a check, for one that was admitted before.
    pub fn put(&mut self, customer: &str, weight: f64, waiting: Waiting) {
        let queue = self.customers.entry(customer.into()).or_default();
        queue.weight = weight.max(LEAST_WEIGHT);
        self.greatest = self.greatest.max(queue.weight);
        queue.push_back(waiting);
        if !queue.is_queued {
            // A customer that did not wait has left its turns to others, so its first call is next. One whose
            // queue was emptied keeps its place until its turn comes and gains nothing by short bursts.
            queue.is_queued = true;
            queue.deficit = FIRST_TURN;
            queue.customer = customer.into();
            self.turns.push_front(customer.into());
        }
        self.len += 1;
        self.uploads += usize::from(waiting.upload);
    }

    /// Estimates how long one more call of a customer would wait: its queue drains by its weight among the
    /// customers that wait, and no later than the whole queue would in order of arrival.
    pub fn wait(&self, customer: &str, weight: f64, call_time: &CallTime, slots: u32) -> Duration {
        if slots == 0 || self.len == 0 {
            // Without slots the wait is not known; the deadline still ends it.
            return Duration::ZERO;
        }
        let own = self.customers.get(customer).map_or(0, CustomerQueue::len) as f64;
        let weight = weight.max(LEAST_WEIGHT);
        let queued = self.turns.iter().filter(|name| &***name != customer);
        let others: f64 = queued.filter_map(|name| self.customers.get(name)).map(|queue| queue.weight).sum();
        let turns = ((own + 1.0) * (others + weight) / weight).min(self.len as f64 + 1.0);
        let lookups = (self.len - self.uploads) as f64 * call_time.service_time(false).as_secs_f64();
        let uploads = self.uploads as f64 * call_time.service_time(true).as_secs_f64();
        Duration::from_secs_f64(turns * (lookups + uploads) / self.len as f64 / f64::from(slots))
    }

    /// Takes the next call by weight; without `with_uploads` uploads stay where they are.
    pub fn pop(&mut self, call_time: &CallTime, with_uploads: bool) -> Option<(CustomerId, Waiting)> {
        let mut skipped = 0;
        if self.len == 0 {
            self.greatest = LEAST_WEIGHT;
        }
        while skipped < self.turns.len() {
            let customer = self.turns.front()?;
            let queue = self.customers.get_mut(customer)?;
            let Some(upload) = queue.next(with_uploads) else {
                if queue.len() == 0 {
                    (queue.is_queued, queue.deficit) = (false, 0.0);
                    let customer = self.turns.pop_front()?;
                    self.customers.remove(&customer);
                } else {
                    self.turns.rotate_left(1);
                    skipped += 1;
                }
                continue;
            };
            let cost = call_time.cost(upload);
            if queue.deficit < cost {
                queue.deficit += queue.weight / self.greatest;
                self.turns.rotate_left(1);
                skipped = 0;
                continue;
            }
            queue.deficit -= cost;
            let waiting = queue.pop(upload, cost)?;
            self.len -= 1;
            self.uploads -= usize::from(upload);
            return Some((queue.customer.clone(), waiting));
        }
        None
    }

    /// Sets the weight of a customer that waits.
    pub fn set_weight(&mut self, customer: &str, weight: f64) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.weight = weight.max(LEAST_WEIGHT);
            self.greatest = self.greatest.max(queue.weight);
        }
    }

    /// Removes a call; returns whether it was waiting.
    pub fn remove(&mut self, customer: &str, call: CallId, upload: bool) -> bool {
        let is_removed = self.customers.get_mut(customer).is_some_and(|queue| queue.remove(call, upload));
        self.len -= usize::from(is_removed);
        self.uploads -= usize::from(is_removed && upload);
        is_removed
    }

    /// Removes every call.
    pub fn drain(&mut self) -> Vec<Waiting> {
        let names = std::mem::take(&mut self.turns);
        let mut calls = Vec::with_capacity(self.len);
        for name in names {
            if let Some(mut queue) = self.customers.remove(&name) {
                calls.extend(queue.drain());
            }
        }
        (self.len, self.uploads) = (0, 0);
        calls
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Customers that wait, with the number of their calls.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerId, usize)> {
        self.turns.iter().filter_map(|name| Some((name, self.customers.get(name)?.len())))
    }
}
