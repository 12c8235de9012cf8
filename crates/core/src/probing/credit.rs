//! Admission of calls of customers with a limit.

use {
    super::{ActiveCall, Balancer, Stage, balancer::Timer},
    crate::{
        config::Configuration,
        dispatch::DispatchAction,
        ids::{CallId, InstanceId},
        outcome::NotRunReason,
        quota::{Admission, CreditResponse, CreditStatistics, RefusalCause},
        slots::{NameHash, name_hash},
    },
    std::time::{Duration, Instant},
};

/// Maximum time for which a call waits for credit. It covers the exchange of a request and an answer with a replica in
/// another data centre, and its repetition.
const MAX_CREDIT_WAIT: Duration = Duration::from_millis(40);
/// Maximum part of a call's objective for which it waits for credit.
const CREDIT_WAIT_SHARE: u32 = 8;

impl Balancer {
    /// Sets the time for which the machine was suspended, during which leases of credit run.
    pub fn set_suspended(&mut self, suspended: Duration) {
        self.credit.set_suspended(suspended);
    }

    /// Returns whether any customer has a limit.
    pub fn has_limits(&self) -> bool {
        self.credit.has_limits()
    }

    /// Returns the numbers of calls of customers with a limit that were admitted and refused.
    pub fn credit_statistics(&self) -> CreditStatistics {
        self.credit.statistics()
    }

    /// Takes credit for a call, or lets it wait for some, and then chooses a server for it.
    pub(super) fn admit(&mut self, now: Instant, mut active: ActiveCall, actions: &mut Vec<DispatchAction>) {
        match self.credit.arrive(now, &active, &mut self.rng) {
            Admission::Unlimited => self.start_round(now, active, Vec::new(), 0, actions),
            Admission::Admitted(ticket) => {
                active.credit = Some(ticket);
                self.start_round(now, active, Vec::new(), 0, actions);
            }
            Admission::Wait => {
                let objective = active.call.options.objective;
                let until = now + MAX_CREDIT_WAIT.min(objective / CREDIT_WAIT_SHARE);
                active.stage = Stage::AwaitingCredit { until };
                self.credit.start_waiting(now, &active);
                let call = active.call.id;
                self.calls.insert(call, active);
                self.set_timer(until, Timer::Call(call));
            }
            Admission::Refused { retry_after, .. } => reject_over_quota(&active, retry_after, actions),
        }
    }

    /// Applies the limits of a configuration.
    pub(super) fn set_limits(&mut self, now: Instant, config: &Configuration, actions: &mut Vec<DispatchAction>) {
        self.credit.configure(now, config);
        self.admit_waiting(now, self.credit.waiting_customers(), actions);
    }

    /// Processes an answer of a replica to a request for credit.
    pub(super) fn receive_credit(
        &mut self,
        now: Instant,
        from: &InstanceId,
        response: &CreditResponse,
        actions: &mut Vec<DispatchAction>,
    ) {
        let waiting = self.credit.receive(now, from, response);
        self.admit_waiting(now, waiting, actions);
    }

    /// Admits waiting calls for which there is credit, and refuses them if their customer exceeds its rate.
    fn admit_waiting(&mut self, now: Instant, customers: Vec<NameHash>, actions: &mut Vec<DispatchAction>) {
        for customer in customers {
            while let Some(call) = self.credit.first_waiting(customer) {
                let ticket = self.credit.try_take(now, customer);
                let is_admitted = ticket.is_some() || !self.credit.is_limited(customer);
                if !is_admitted && !self.credit.is_exceeded(customer) {
                    break;
                }
                let Some(mut active) = self.remove_call(call) else { break };
                if is_admitted {
                    active.credit = ticket;
                    self.start_admitted(now, active, actions);
                } else {
                    self.refuse(now, &active, RefusalCause::Limit, actions);
                }
            }
        }
    }

    /// Chooses a server for a call that has waited for credit.
    fn start_admitted(&mut self, now: Instant, active: ActiveCall, actions: &mut Vec<DispatchAction>) {
        if !self.has_time(now, &active) {
            return self.reject(now, &active, NotRunReason::Deadline, actions);
        }
        if let Some(active) = self.try_relay(now, active, actions) {
            self.start_round(now, active, Vec::new(), 0, actions);
        }
    }

    /// Refuses a call that has waited for credit for too long.
    pub(super) fn on_credit_timeout(&mut self, now: Instant, call: CallId, actions: &mut Vec<DispatchAction>) {
        let Some(mut active) = self.remove_call(call) else { return };
        match self.credit.try_take(now, name_hash(&active.call.customer)) {
            Some(ticket) => {
                active.credit = Some(ticket);
                self.start_admitted(now, active, actions);
            }
            None => self.refuse(now, &active, RefusalCause::NoAnswer, actions),
        }
    }

    fn refuse(&mut self, now: Instant, active: &ActiveCall, cause: RefusalCause, actions: &mut Vec<DispatchAction>) {
        let customer = name_hash(&active.call.customer);
        let Admission::Refused { retry_after, .. } = self.credit.refuse(now, customer, cause, &mut self.rng) else {
            return self.reject(now, active, NotRunReason::Quota, actions);
        };
        reject_over_quota(active, retry_after, actions);
    }

    /// Spends the credit of a call that is sent to a server. Each attempt needs credit of its own, unless an earlier one
    /// did not run. Credit that expired while the call waited is replaced. Returns whether the call may be sent.
    pub(super) fn spend_credit(&mut self, now: Instant, active: &mut ActiveCall) -> bool {
        let customer = name_hash(&active.call.customer);
        if !self.credit.is_limited(customer) {
            return true;
        }
        let ticket = active.credit.take();
        active.spent_credit = self.credit.spend(now, ticket);
        if active.spent_credit.is_none() {
            let further = self.credit.try_take(now, customer);
            active.spent_credit = self.credit.spend(now, further);
        }
        active.spent_credit.is_some()
    }

    /// Spends credit for a second copy of a call, which may run in addition to the first one. Returns whether the copy may be
    /// sent.
    pub(super) fn spend_credit_for_copy(&mut self, now: Instant, customer: NameHash) -> bool {
        if !self.credit.is_limited(customer) {
            return true;
        }
        let ticket = self.credit.try_take(now, customer);
        self.credit.spend(now, ticket).is_some()
    }

    /// Returns the credit of an attempt that did not run to the call.
    pub(super) fn restore_credit(&mut self, now: Instant, active: &mut ActiveCall) {
        active.credit = self.credit.restore(now, active.spent_credit.take());
    }
}

/// Rejects a call whose customer exceeds its rate.
fn reject_over_quota(active: &ActiveCall, retry_after: Duration, actions: &mut Vec<DispatchAction>) {
    actions.push(DispatchAction::Reject {
        call: active.call.id,
        outcome: active.outcome(NotRunReason::Quota),
        retry_after,
    });
}
