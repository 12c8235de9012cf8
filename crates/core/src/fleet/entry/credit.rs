//! Requests for credit of customers with a limit.

use {
    super::{EntryAction, EntryLink},
    crate::{
        fleet::FleetMessage,
        ids::InstanceId,
        quota::{CreditRequest, CreditResponse},
    },
    std::time::Instant,
};

impl EntryLink {
    /// Sends a request to the leader, or to the replica in use, which names the leader.
    pub(super) fn request_credit(&mut self, now: Instant, request: CreditRequest, out: &mut Vec<EntryAction>) {
        let replica = self.replica().cloned();
        if let Some(to) = self.credit_route.choose(now, replica.as_ref(), &request) {
            out.push(EntryAction::Send { to, message: FleetMessage::CreditRequest(request) });
        }
    }

    /// Passes an answer on to the balancer. If its sender does not lead, the request is sent to the leader at once.
    pub(super) fn handle_credit(&mut self, from: InstanceId, response: CreditResponse, out: &mut Vec<EntryAction>) {
        if response.session != 0 {
            self.credit_route.record_leader(&from);
        } else if let Some((to, request)) = self.credit_route.redirect(response.leader.clone(), response.echo) {
            out.push(EntryAction::Send { to, message: FleetMessage::CreditRequest(request) });
        }
        out.push(EntryAction::Credit { from, response });
    }
}
