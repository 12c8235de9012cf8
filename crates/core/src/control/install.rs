//! Installation of changes, and readiness of this instance.

use {
    super::{Control, ControlAction, ControlLogEvent, PeerMessage, outgoing_requests::RequestResults},
    crate::{
        config::Configuration,
        ids::{ChangeNumber, InstanceId},
        membership::{MembershipEvent, Status},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Minimum time between requests for a newer change.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum extension of the serving time that is reported, so that not every heartbeat causes a report.
const MIN_SERVE_UNTIL_EXTENSION: Duration = Duration::from_millis(100);

impl Control {
    /// Offers a committed change, which is installed now or once this instance knows that it is recent enough.
    pub(super) fn offer_change(
        &mut self,
        now: Instant,
        number: ChangeNumber,
        text: Box<str>,
        actions: &mut Vec<ControlAction>,
    ) {
        let best = self.pending_change.as_ref().map_or(self.freshness.installed(), |(number, _)| *number);
        if number > best && number > self.unreadable_change {
            self.pending_change = Some((number, text));
        }
        self.install_pending_change(now, actions);
    }

    /// Offers the latest change of the local ledger, and sends it to the other instances if this one is the leader.
    pub(super) fn handle_committed_change(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let Some(replica) = &self.replica else { return };
        let (number, text): (_, Box<str>) = (replica.ledger.change_number(), replica.ledger.config_text().into());
        if number == 0 {
            return;
        }
        if replica.is_leading {
            let is_behind = |peer: &&InstanceId| self.membership.status(peer).is_none_or(|s| s.installed < number);
            actions.extend(self.options.peers.iter().filter(is_behind).map(|to| {
                let message = PeerMessage::Install { number, text: text.clone() };
                ControlAction::SendStream { to: to.clone(), message }
            }));
        }
        self.offer_change(now, number, text, actions);
    }

    /// Sends the latest change to an instance that asked for one above a number.
    pub(super) fn send_change(&self, to: InstanceId, above: ChangeNumber, actions: &mut Vec<ControlAction>) {
        let committed =
            self.replica.as_ref().map(|replica| (replica.ledger.change_number(), replica.ledger.config_text()));
        let installed = self.configuration.as_ref().map(|(source, configuration)| (configuration.number, &**source));
        let newest = committed.into_iter().chain(installed).max_by_key(|(number, _)| *number);
        if let Some((number, text)) = newest.filter(|(number, _)| *number > above) {
            actions.push(ControlAction::SendStream { to, message: PeerMessage::Install { number, text: text.into() } });
        }
    }

    /// Requests the latest known change from another instance if it is missing here.
    pub(super) fn fetch_missing_change(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let wanted =
            self.freshness.fetch_target(self.membership.reports()).filter(|wanted| *wanted > self.unreadable_change);
        let Some(wanted) = wanted else { return };
        let is_pending = self.pending_change.as_ref().is_some_and(|(number, _)| *number >= wanted);
        let is_early = self.last_fetch_at.is_some_and(|last| now.saturating_duration_since(last) < FETCH_INTERVAL);
        if is_pending || is_early {
            return;
        }
        let live = self.membership.reports().filter(|report| self.membership.is_live(now, report.peer));
        let mut sources: Vec<InstanceId> =
            live.filter(|report| report.status.installed >= wanted).map(|report| report.peer.into()).collect();
        // A committed change may not be installed on any instance yet, but the leader has it.
        sources.extend(self.leader_hint(now).leader.filter(|leader| *leader != self.options.id));
        if sources.is_empty() {
            return;
        }
        sources.sort_unstable();
        self.last_fetch_at = Some(now);
        self.fetch_count += 1;
        let to = sources[self.fetch_count % sources.len()].clone();
        actions
            .push(ControlAction::SendStream { to, message: PeerMessage::Fetch { above: self.freshness.installed() } });
    }

    /// Updates the status that membership reports to the peers.
    pub(super) fn update_status(&mut self, now: Instant) {
        let status = Status {
            installed: self.freshness.installed(),
            informed: self.freshness.is_informed(),
            ready: !self.is_draining && self.may_serve(now).is_ok(),
            digest: self.registry.digest(now),
            hint: self.leader_hint(now),
        };
        self.membership.handle(now, MembershipEvent::Report(status), &mut Vec::new());
    }

    pub(super) fn apply_results(&mut self, now: Instant, results: RequestResults, actions: &mut Vec<ControlAction>) {
        actions.extend(results.answers.into_iter().map(ControlAction::Answer));
        if let Some(number) = results.current {
            self.freshness.learn_committed(number);
            self.install_pending_change(now, actions);
        }
    }

    /// Re-evaluates everything that an event may have affected.
    pub(super) fn reevaluate(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let was_informed = self.freshness.is_informed();
        if !was_informed {
            self.freshness.update(now, || self.membership.reports());
            self.install_pending_change(now, actions);
            self.freshness.update(now, || self.membership.reports());
        }
        if self.freshness.is_informed() && !was_informed {
            self.outgoing_requests.stop_current_query();
            self.update_status(now);
            self.membership_event(now, MembershipEvent::SendNow, actions);
        }
        let mut results = RequestResults::default();
        self.answer_installed_submissions(now, &mut results, actions);
        self.apply_results(now, results, actions);
        self.update_readiness(now, actions);
        let live = self.membership.live(now);
        if live != self.live_peers {
            self.live_peers = live.clone();
            actions.push(ControlAction::LivePeers(live));
        }
    }

    fn update_readiness(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let until = self.freshness.serve_until(now, self.membership.reports());
        let readiness = until.map(drop);
        if self.reported_readiness != Some(readiness) {
            self.reported_readiness = Some(readiness);
            actions.push(ControlAction::Log(match readiness {
                Ok(()) => ControlLogEvent::Ready,
                Err(reason) => ControlLogEvent::NotReady(reason),
            }));
        }
        let until = until.ok().filter(|_| !self.is_draining);
        let is_news = match (self.reported_serve_until, until) {
            (Some(was), Some(until)) => until < was || until >= was + MIN_SERVE_UNTIL_EXTENSION,
            (was, until) => was != until,
        };
        if is_news {
            self.reported_serve_until = until;
            actions.push(ControlAction::ServeUntil(until));
        }
    }

    fn install_pending_change(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let Some((number, source)) = self.pending_change.take() else { return };
        let configuration = match Configuration::parse(&source) {
            Ok(parsed) if parsed.number == number => Arc::new(parsed),
            _ => {
                self.unreadable_change = number;
                actions.push(ControlAction::Log(ControlLogEvent::ChangeUnreadable(number)));
                return;
            }
        };
        if !self.freshness.install(now, number) {
            // The change is kept until it is known whether it is recent enough.
            self.pending_change = Some((number, source)).filter(|_| number > self.freshness.installed());
            return;
        }
        self.configuration = Some((source, configuration.clone()));
        actions.push(ControlAction::Log(ControlLogEvent::ChangeInstalled(number)));
        actions.push(ControlAction::Install(configuration));
        self.update_status(now);
        self.membership_event(now, MembershipEvent::SendNow, actions);
    }
}
