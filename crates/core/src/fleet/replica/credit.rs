//! Credit for calls of customers with a limit, which only a leader lends.

use {
    super::{Replica, ReplicaAction},
    crate::{
        fleet::FleetMessage,
        ids::{CustomerId, Incarnation, InstanceId},
        quota::{CreditRequest, CreditResponse},
    },
    std::time::Instant,
};

impl Replica {
    /// Creates, updates or drops the pool of credit.
    pub(super) fn update_credit(&mut self, now: Instant) {
        if self.consensus.is_leader() && self.is_current() {
            self.credit.update(now, self.ledger.change_number(), self.ledger.config_text());
        } else {
            self.credit.drop_pool();
        }
    }

    /// Lends credit to an entry, or names the leader.
    pub(super) fn handle_credit_request(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: Incarnation,
        request: &CreditRequest,
        out: &mut Vec<ReplicaAction>,
    ) {
        self.update_credit(now);
        let response = match &mut self.credit.pool {
            Some(pool) => pool.handle(now, &from, incarnation, request),
            None => {
                let leader = self.consensus.leader().filter(|leader| **leader != self.options.id).cloned();
                let (echo, customers) = (request.number, Vec::new());
                Some(CreditResponse { echo, leader, session: 0, entries: 0, customers })
            }
        };
        if let Some(response) = response {
            out.push(ReplicaAction::Send { to: from, message: FleetMessage::CreditResponse(response) });
        }
    }

    /// Returns the credit left of each customer with a limit and the credit lent so far, if this replica leads.
    pub fn credits(&self) -> impl Iterator<Item = (&CustomerId, f64, f64)> {
        self.credit.pool.iter().flat_map(|pool| pool.credits())
    }
}
