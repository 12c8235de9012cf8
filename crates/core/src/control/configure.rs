//! Installing changes and judging whether this entry may serve.

use {
    super::{Control, ControlAction, ControlLogEvent, PeerMessage, requests::Progress},
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

/// Time between two questions for a newer change.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);

/// Least extension of the time for which the entry may serve that is reported, so that not every heartbeat
/// is.
const SERVE_UNTIL_STEP: Duration = Duration::from_millis(100);

impl Control {
    /// Takes a committed change, which is installed now or once this entry knows that it is not too old.
    pub(super) fn offer(
        &mut self,
        now: Instant,
        number: ChangeNumber,
        text: Box<str>,
        actions: &mut Vec<ControlAction>,
    ) {
        let best = self.candidate.as_ref().map_or(self.freshness.installed(), |(number, _)| *number);
        if number > best && number > self.unreadable {
            self.candidate = Some((number, text));
        }
        self.install_candidate(now, actions);
    }

    /// Takes the newest change of the own ledger, and gives it to the other entries if this instance leads.
    pub(super) fn committed(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
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
        self.offer(now, number, text, actions);
    }

    /// Gives a change to an entry that asked for one above a number.
    pub(super) fn give(&self, to: InstanceId, above: ChangeNumber, actions: &mut Vec<ControlAction>) {
        let committed =
            self.replica.as_ref().map(|replica| (replica.ledger.change_number(), replica.ledger.config_text()));
        let installed = self.text.as_ref().map(|(source, text)| (text.number, &**source));
        let newest = committed.into_iter().chain(installed).max_by_key(|(number, _)| *number);
        if let Some((number, text)) = newest.filter(|(number, _)| *number > above) {
            actions.push(ControlAction::SendStream { to, message: PeerMessage::Install { number, text: text.into() } });
        }
    }

    /// Asks another entry for a change that is known but not here.
    pub(super) fn fetch(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let wanted = self.freshness.fetch_target(self.membership.reports()).filter(|wanted| *wanted > self.unreadable);
        let Some(wanted) = wanted else { return };
        let is_here = self.candidate.as_ref().is_some_and(|(number, _)| *number >= wanted);
        let is_early = self.last_fetch.is_some_and(|last| now.saturating_duration_since(last) < FETCH_INTERVAL);
        if is_here || is_early {
            return;
        }
        let live = self.membership.reports().filter(|report| self.membership.is_live(now, report.peer));
        let mut sources: Vec<InstanceId> =
            live.filter(|report| report.status.installed >= wanted).map(|report| report.peer.into()).collect();
        // What the log named may be installed nowhere yet; then the leader has it.
        sources.extend(self.hint(now).leader.filter(|leader| *leader != self.options.id));
        if sources.is_empty() {
            return;
        }
        sources.sort_unstable();
        self.last_fetch = Some(now);
        self.fetches += 1;
        let to = sources[self.fetches % sources.len()].clone();
        actions
            .push(ControlAction::SendStream { to, message: PeerMessage::Fetch { above: self.freshness.installed() } });
    }

    /// Gives membership the state to report.
    pub(super) fn report(&mut self, now: Instant) {
        let status = Status {
            installed: self.freshness.installed(),
            informed: self.freshness.is_informed(),
            ready: !self.is_draining && self.may_serve(now).is_ok(),
            digest: self.registry.digest(now),
            hint: self.hint(now),
        };
        self.membership.handle(now, MembershipEvent::Report(status), &mut Vec::new());
    }

    pub(super) fn take_progress(&mut self, now: Instant, progress: Progress, actions: &mut Vec<ControlAction>) {
        actions.extend(progress.answers.into_iter().map(ControlAction::Answer));
        if let Some(number) = progress.current {
            self.freshness.learn_committed(number);
            self.install_candidate(now, actions);
        }
    }

    /// Judges everything that may have changed with an event.
    pub(super) fn review(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let was_informed = self.freshness.is_informed();
        if !was_informed {
            self.freshness.update(now, || self.membership.reports());
            self.install_candidate(now, actions);
            self.freshness.update(now, || self.membership.reports());
        }
        if self.freshness.is_informed() && !was_informed {
            self.requests.stop_current();
            self.report(now);
            self.membership_event(now, MembershipEvent::SendNow, actions);
        }
        let mut progress = Progress::default();
        self.review_waiting(now, &mut progress, actions);
        self.take_progress(now, progress, actions);
        self.review_readiness(now, actions);
        let live = self.membership.live(now);
        if live != self.live {
            self.live = live.clone();
            actions.push(ControlAction::LivePeers(live));
        }
    }

    fn review_readiness(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let until = self.freshness.serve_until(now, self.membership.reports());
        let readiness = until.map(drop);
        if self.readiness != Some(readiness) {
            self.readiness = Some(readiness);
            actions.push(ControlAction::Log(match readiness {
                Ok(()) => ControlLogEvent::Ready,
                Err(reason) => ControlLogEvent::NotReady(reason),
            }));
        }
        let until = until.ok().filter(|_| !self.is_draining);
        let is_news = match (self.until, until) {
            (Some(was), Some(until)) => until < was || until >= was + SERVE_UNTIL_STEP,
            (was, until) => was != until,
        };
        if is_news {
            self.until = until;
            actions.push(ControlAction::ServeUntil(until));
        }
    }

    fn install_candidate(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let Some((number, source)) = self.candidate.take() else { return };
        let text = match Configuration::parse(&source) {
            Ok(text) if text.number == number => Arc::new(text),
            _ => {
                self.unreadable = number;
                actions.push(ControlAction::Log(ControlLogEvent::ChangeUnreadable(number)));
                return;
            }
        };
        if !self.freshness.install(now, number) {
            // It is kept while it is not known whether it is too old.
            self.candidate = Some((number, source)).filter(|_| number > self.freshness.installed());
            return;
        }
        self.text = Some((source, text.clone()));
        actions.push(ControlAction::Log(ControlLogEvent::ChangeInstalled(number)));
        actions.push(ControlAction::Install(text));
        self.report(now);
        self.membership_event(now, MembershipEvent::SendNow, actions);
    }
}
