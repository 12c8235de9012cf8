//! Credit of customers with a limit, and the calls that wait for it.

use {
    super::ActiveCall,
    crate::{
        collections::FastMap,
        config::Configuration,
        dispatch::DispatchAction,
        ids::{CallId, InstanceId},
        quota::{
            Admission, CreditHolder, CreditResponse, CreditStatistics, CreditTicket, HolderAction, QuotaTolerance,
            RefusalCause,
        },
        slots::{NameHash, name_hash},
    },
    rand::rngs::SmallRng,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Credit of customers with a limit, and the calls that wait for it.
///
/// Leases run while the machine is suspended, unlike the clock of the balancer. Therefore the holder is given times to
/// which the time of suspensions is added.
#[derive(Debug)]
pub(super) struct CreditQueue {
    holder: CreditHolder,
    waiting: FastMap<NameHash, VecDeque<CallId>>,
    /// Time for which the machine was suspended.
    suspended: Duration,
    /// Actions of the holder that have not been passed on.
    actions: Vec<HolderAction>,
}

impl CreditQueue {
    pub(super) fn new(tolerance: QuotaTolerance, rng: &mut SmallRng) -> Self {
        let holder = CreditHolder::new(tolerance, rng);
        Self { holder, waiting: FastMap::default(), suspended: Duration::ZERO, actions: Vec::new() }
    }

    pub(super) fn set_suspended(&mut self, suspended: Duration) {
        self.suspended = self.suspended.max(suspended);
    }

    pub(super) fn configure(&mut self, now: Instant, config: &Configuration) {
        self.holder.configure(now + self.suspended, config);
    }

    pub(super) fn set_index(&mut self, index: usize) {
        self.holder.set_index(index);
    }

    pub(super) fn has_limits(&self) -> bool {
        self.holder.has_limits()
    }

    pub(super) fn statistics(&self) -> CreditStatistics {
        self.holder.statistics()
    }

    pub(super) fn next_wake(&self) -> Option<Instant> {
        let at = self.holder.next_wake()?;
        Some(at.checked_sub(self.suspended).unwrap_or(at))
    }

    /// Sends the request that is due.
    pub(super) fn request(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.holder.has_limits() {
            self.holder.tick(now + self.suspended, &mut self.actions);
        }
        actions.extend(self.actions.drain(..).map(DispatchAction::Credit));
    }

    /// Processes an answer. Returns the customers whose calls wait for credit.
    pub(super) fn receive(&mut self, now: Instant, from: &InstanceId, response: &CreditResponse) -> Vec<NameHash> {
        self.holder.receive(now + self.suspended, from, response, &mut self.actions);
        self.waiting_customers()
    }

    /// Returns the customers whose calls wait for credit.
    pub(super) fn waiting_customers(&self) -> Vec<NameHash> {
        let mut customers: Vec<_> = self.waiting.keys().copied().collect();
        customers.sort_unstable();
        customers
    }

    /// Returns the call of a customer that has waited the longest.
    pub(super) fn first_waiting(&self, customer: NameHash) -> Option<CallId> {
        self.waiting.get(&customer)?.front().copied()
    }

    pub(super) fn arrive(&mut self, now: Instant, active: &ActiveCall, rng: &mut SmallRng) -> Admission {
        if !self.holder.has_limits() {
            return Admission::Unlimited;
        }
        self.holder.arrive(now + self.suspended, name_hash(&active.call.customer), rng)
    }

    pub(super) fn start_waiting(&mut self, now: Instant, active: &ActiveCall) {
        let customer = name_hash(&active.call.customer);
        self.holder.start_waiting(now + self.suspended, customer);
        self.waiting.entry(customer).or_default().push_back(active.call.id);
    }

    pub(super) fn stop_waiting(&mut self, active: &ActiveCall) {
        let customer = name_hash(&active.call.customer);
        self.holder.stop_waiting(customer);
        if let Some(calls) = self.waiting.get_mut(&customer) {
            calls.retain(|call| *call != active.call.id);
            if calls.is_empty() {
                self.waiting.remove(&customer);
            }
        }
    }

    pub(super) fn is_limited(&self, customer: NameHash) -> bool {
        self.holder.is_limited(customer)
    }

    pub(super) fn is_exceeded(&self, customer: NameHash) -> bool {
        self.holder.is_exceeded(customer)
    }

    pub(super) fn try_take(&mut self, now: Instant, customer: NameHash) -> Option<CreditTicket> {
        self.holder.try_take(now + self.suspended, customer)
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        customer: NameHash,
        cause: RefusalCause,
        rng: &mut SmallRng,
    ) -> Admission {
        self.holder.refuse(now + self.suspended, customer, cause, rng)
    }

    /// Spends the credit of a call. Returns the spent credit, or `None` if it has expired.
    pub(super) fn spend(&mut self, now: Instant, ticket: Option<CreditTicket>) -> Option<CreditTicket> {
        ticket.filter(|ticket| self.holder.spend(now + self.suspended, *ticket))
    }

    /// Returns the credit of a call that was not sent.
    pub(super) fn give_back(&mut self, now: Instant, ticket: Option<CreditTicket>) {
        if let Some(ticket) = ticket {
            self.holder.give_back(now + self.suspended, ticket);
        }
    }

    /// Returns the credit of an attempt that did not run, for the next attempt.
    pub(super) fn restore(&mut self, now: Instant, ticket: Option<CreditTicket>) -> Option<CreditTicket> {
        self.holder.restore(now + self.suspended, ticket?)
    }
}
