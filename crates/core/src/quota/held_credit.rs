//! Credit of one customer at an entry.

use {
    super::{CreditDemand, CreditGrant, CreditTicket, Demand, LEASE, OwnPart, QuotaLimit, Refusals},
    crate::slots::NameHash,
    std::time::Instant,
};

/// Demand below which an entry holds no credit in advance, in calls per second.
const MIN_DEMAND: f64 = 0.1;

/// Credit of one customer at an entry.
#[derive(Clone, Debug)]
pub(super) struct HeldCredit {
    pub(super) limit: QuotaLimit,
    pub(super) demand: Demand,
    /// Unused credit.
    credit: u32,
    /// Admitted calls that have not been sent to a server.
    queued: u32,
    /// Calls that wait for credit.
    pub(super) waiting: u32,
    /// End of the lease of the credit and of the queued calls, if the leader has lent them.
    expires_at: Option<Instant>,
    epoch: u32,
    /// Credit that the leader lets this entry hold.
    target: Option<u32>,
    /// Whether the customer exceeds its rate, according to the leader.
    pub(super) is_exceeded: bool,
    /// Credit lent by the leader.
    pub(super) supply: Demand,
    pub(super) refusals: Refusals,
    pub(super) own: Option<OwnPart>,
}

impl HeldCredit {
    pub(super) fn new(now: Instant, limit: QuotaLimit) -> Self {
        Self {
            limit,
            demand: Demand::new(now),
            credit: 0,
            queued: 0,
            waiting: 0,
            expires_at: None,
            epoch: 0,
            target: None,
            is_exceeded: false,
            supply: Demand::new(now),
            refusals: Refusals::new(now),
            own: None,
        }
    }

    /// Drops the credit if its lease is over. Calls that were admitted with it need credit anew when they are sent.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.expires_at.is_some_and(|at| now >= at) {
            (self.credit, self.queued, self.expires_at) = (0, 0, None);
            self.epoch = self.epoch.wrapping_add(1);
        }
    }

    /// Takes credit for a call.
    pub(super) fn try_take(&mut self, now: Instant, customer: NameHash) -> Option<CreditTicket> {
        self.expire(now);
        let is_taken = match &mut self.own {
            Some(own) => own.try_take(now, self.queued),
            None if self.credit > 0 => {
                self.credit -= 1;
                true
            }
            None => false,
        };
        if !is_taken {
            return None;
        }
        self.queued += 1;
        Some(CreditTicket { customer, epoch: self.epoch })
    }

    /// Ends the wait of an admitted call because it is sent. Returns whether its credit is still valid.
    pub(super) fn spend(&mut self, now: Instant, ticket: CreditTicket) -> bool {
        self.expire(now);
        let is_valid = ticket.epoch == self.epoch && self.queued > 0;
        self.queued -= u32::from(is_valid);
        is_valid
    }

    /// Returns the credit of a call that was not sent.
    pub(super) fn give_back(&mut self, now: Instant, ticket: CreditTicket) {
        if self.spend(now, ticket) {
            match &mut self.own {
                Some(own) => own.give_back(),
                None => self.credit += 1,
            }
        }
    }

    /// Returns the credit of a call that was sent and did not run to the call, for its next attempt.
    pub(super) fn restore(&mut self, now: Instant, ticket: CreditTicket) -> bool {
        self.expire(now);
        let is_valid = ticket.epoch == self.epoch && (self.expires_at.is_some() || self.own.is_some());
        self.queued += u32::from(is_valid);
        is_valid
    }

    /// Begins to use the entry's own part.
    pub(super) fn cut_off(&mut self, part: OwnPart) {
        if self.own.is_none() {
            (self.credit, self.queued, self.expires_at) = (0, 0, None);
            self.epoch = self.epoch.wrapping_add(1);
            self.own = Some(part);
        }
    }

    /// Ends the use of the entry's own part, since a leader has answered. Admitted calls stay admitted.
    pub(super) fn connect(&mut self, now: Instant) {
        if self.own.take().is_some() && self.queued > 0 {
            self.expires_at = Some(now + LEASE);
        }
        self.target = None;
        self.is_exceeded = false;
    }

    /// Ends the use of the entry's own part, since the leader no longer reserves it.
    pub(super) fn end_own_part(&mut self) {
        self.own = Some(OwnPart::Ended);
    }

    /// Replaces the limit.
    pub(super) fn set_limit(&mut self, limit: QuotaLimit) {
        if self.limit != limit {
            self.limit = limit;
            self.own = None;
        }
    }

    /// Returns whether more calls wait than there is credit for, although the customer does not exceed its rate.
    pub(super) fn lacks_credit(&self) -> bool {
        self.waiting > self.credit && !self.is_exceeded
    }

    /// Returns whether there is nothing to tell the leader.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.credit == 0
            && self.queued == 0
            && self.waiting == 0
            && self.own.is_none()
            && self.demand.per_second(now) < MIN_DEMAND
    }

    /// Returns what to tell the leader, and gives back surplus credit.
    pub(super) fn report(&mut self, now: Instant, customer: NameHash) -> CreditDemand {
        self.expire(now);
        let demand = self.demand.per_second(now);
        let kept = match self.target {
            _ if demand < MIN_DEMAND => self.waiting,
            Some(target) => target.saturating_sub(self.queued),
            None => self.credit,
        };
        let returned = self.credit.saturating_sub(kept);
        self.credit -= returned;
        let (credit, queued) = (self.credit, self.queued);
        let demand = if demand < MIN_DEMAND { 0 } else { (demand * 10.0) as u32 };
        CreditDemand { customer, demand, waiting: self.waiting, credit, queued, returned }
    }

    /// Applies an answer to a request that was sent at this time.
    pub(super) fn apply(&mut self, now: Instant, sent_at: Instant, grant: &CreditGrant) {
        self.expire(now);
        self.credit = self.credit.saturating_add(grant.lent);
        self.supply.record(now, f64::from(grant.lent));
        self.target = Some(grant.target);
        self.is_exceeded = grant.is_exceeded;
        self.expires_at = Some(sent_at + LEASE);
        self.expire(now);
    }
}
