//! Task that runs the balancer of an entry.

use {
    super::{balancer_report::BalancerReport, path_check::check_path},
    crate::{
        counters::Counters,
        pending_decisions::{MAX_BATCH, PendingDecisions},
    },
    actix_rt::time::sleep_until,
    hemlockford_core::{
        collections::FastSet,
        dispatch::{AttemptResult, DispatchAction, DispatchEvent, FinishedAttempt, ServerNotice},
        probing::{Balancer, ColdServer, HedgeCounts},
        quarantine::RequestDigest,
        quota::HolderAction,
    },
    hemlockford_net::BootClock,
    hemlockford_proxy::{CopyTarget, Decision, DispatcherMessage, Probe},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        select,
        sync::{mpsc, watch},
    },
};

/// Time until the next tick if the balancer has no timer.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between reports on cold servers.
const WARM_UP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Passes events to the balancer and executes its actions.
pub(super) struct BalancerTask {
    pub(super) balancer: Balancer,
    pub(super) messages: mpsc::UnboundedReceiver<DispatcherMessage>,
    pub(super) events: mpsc::UnboundedReceiver<DispatchEvent>,
    /// Channel to the worker, which sends probes on its connections to servers.
    pub(super) probes: mpsc::UnboundedSender<Probe>,
    pub(super) probe_events_tx: mpsc::UnboundedSender<DispatchEvent>,
    pub(super) probe_events: mpsc::UnboundedReceiver<DispatchEvent>,
    pub(super) pending: PendingDecisions,
    /// Number of services to whose servers this entry has lost the path.
    pub(super) lost_paths: usize,
    /// When the cold servers are reported next.
    pub(super) next_warm_up_report: Instant,
    /// Second copies that the metrics include.
    pub(super) hedge_counts: HedgeCounts,
    /// Channel to the entry's task.
    pub(super) reports: mpsc::UnboundedSender<BalancerReport>,
    /// Heads of the requests that the worker must identify.
    pub(super) suspect_heads: watch::Sender<Arc<FastSet<RequestDigest>>>,
    pub(super) counters: Counters,
}

impl BalancerTask {
    pub(super) async fn run(mut self) {
        let mut actions = Vec::new();
        loop {
            let wake = self.balancer.next_wake().unwrap_or_else(|| Instant::now() + MAX_TICK_INTERVAL);
            select! {
                biased;
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event, &mut actions),
                    None => return,
                },
                Some(event) = self.probe_events.recv() => self.handle(event, &mut actions),
                message = self.messages.recv() => match message {
                    Some(message) => self.handle_message(message, &mut actions),
                    None => return,
                },
                () = sleep_until(wake.into()) => {
                    self.handle(DispatchEvent::Tick, &mut actions);
                    self.count_quarantined();
                }
            }
            for _ in 0..MAX_BATCH {
                let Ok(message) = self.messages.try_recv() else { break };
                self.handle_message(message, &mut actions);
            }
            self.report_warm_up(Instant::now());
            self.count_copies();
            self.counters.waiting_calls.set(self.balancer.waiting() as i64);
            self.counters.active_calls.set(self.balancer.active() as i64);
            self.counters.quota.count_calls(self.balancer.credit_statistics());
        }
    }

    fn handle_message(&mut self, message: DispatcherMessage, actions: &mut Vec<DispatchAction>) {
        if let DispatcherMessage::Crash { server, description, .. } = &message {
            self.counters.server_crashes.inc();
            self.report(BalancerReport::Crash { server: server.clone(), request: description.clone() });
        }
        let event = self.pending.register(message);
        self.handle(event, actions);
    }

    fn handle(&mut self, event: DispatchEvent, actions: &mut Vec<DispatchAction>) {
        if let DispatchEvent::Notice { server, notice, .. } = &event {
            self.counters.server_notices.with_label_values(&[notice_label(*notice)]).inc();
            if *notice == ServerNotice::Leaving {
                self.report(BalancerReport::Leaving(server.clone()));
            }
        }
        if self.balancer.has_limits() {
            // Leases run while the machine is suspended.
            let boot = BootClock::now();
            self.balancer.set_suspended(boot.saturating_duration_since(BootClock::to_steady(boot)));
        }
        self.balancer.handle(Instant::now(), event, actions);
        let lost_paths = self.balancer.lost_paths();
        if lost_paths != self.lost_paths {
            self.lost_paths = lost_paths;
            self.counters.lost_paths.set(lost_paths as i64);
            self.report(BalancerReport::LostPaths(lost_paths));
        }
        let mut lost_copies = Vec::new();
        for action in std::mem::take(actions) {
            match action {
                DispatchAction::Send { call, server, address, fresh_connection, pass_allowance, want_report } => {
                    let decision = Decision::Send { server, address, fresh_connection, pass_allowance, want_report };
                    self.pending.decide(call, decision);
                }
                DispatchAction::Reject { call, outcome, retry_after } => {
                    self.pending.decide(call, Decision::Reject { outcome, retry_after });
                }
                DispatchAction::Probe { probe, server, address, limit, path } => {
                    let events = self.probe_events_tx.clone();
                    // Without a receiver the process is stopping.
                    let _ = self.probes.send(Probe { number: probe, server, address, limit, path, events });
                }
                DispatchAction::Relay { call, entry, address, attempts, fresh_connection } => {
                    self.counters.relayed_calls.inc();
                    self.pending.decide(call, Decision::Relay { entry, address, attempts, fresh_connection });
                }
                DispatchAction::CheckPath { server, address, limit } => {
                    actix_rt::spawn(check_path(server, address, limit, self.probe_events_tx.clone()));
                }
                DispatchAction::Credit(action) => self.report(match action {
                    HolderAction::Request(request) => BalancerReport::Credit(request),
                    HolderAction::CutOff => BalancerReport::CreditContact(false),
                    HolderAction::Connected => BalancerReport::CreditContact(true),
                }),
                DispatchAction::ReportSuspect(record) => self.report(BalancerReport::Suspect(record)),
                DispatchAction::SetSuspectHeads(heads) => {
                    self.suspect_heads.send_replace(Arc::new(heads));
                    self.count_quarantined();
                }
                DispatchAction::Hedge { call, server, address } => {
                    if !self.pending.start_copy(call, CopyTarget { server: server.clone(), address }) {
                        lost_copies.push((call, server));
                    }
                }
                // Entries of a fleet do not send each other messages.
                DispatchAction::SendMessage { .. } => {}
            }
        }
        // The first attempt has ended meanwhile.
        for (call, server) in lost_copies {
            let (result, latency) = (AttemptResult::Superseded, Duration::ZERO);
            let finish = FinishedAttempt { call, server, result, latency, report: None, wants_decision: false };
            self.handle(DispatchEvent::AttemptFinished(finish), actions);
        }
    }

    /// Adds the second copies since the last call to the metrics.
    fn count_copies(&mut self) {
        let counts = self.balancer.hedge_counts();
        if *counts == self.hedge_counts {
            return;
        }
        self.counters.copies_sent.inc_by(counts.sent - self.hedge_counts.sent);
        self.counters.copies_won.inc_by(counts.won - self.hedge_counts.won);
        for (reason, count) in &counts.refused {
            let before = self.hedge_counts.refused.get(reason).copied().unwrap_or(0);
            self.counters.copies_refused.with_label_values(&[&reason.to_string()]).inc_by(count - before);
        }
        self.hedge_counts = counts.clone();
    }

    /// Updates the metrics of cold servers and reports changes, once per interval.
    fn report_warm_up(&mut self, now: Instant) {
        if now < self.next_warm_up_report {
            return;
        }
        self.next_warm_up_report = now + WARM_UP_REPORT_INTERVAL;
        let report = self.balancer.report_warm_up(now);
        self.counters.cold_servers.set(report.servers as i64);
        self.counters.cold_call_rate.set(report.rate);
        for change in report.changes {
            if let ColdServer::Warm { calls, .. } = &change {
                self.counters.cold_calls.inc_by(*calls);
            }
            self.report(BalancerReport::ColdServer(change));
        }
    }

    fn count_quarantined(&self) {
        self.counters.quarantined.set(self.balancer.quarantined(Instant::now()) as i64);
    }

    fn report(&self, report: BalancerReport) {
        // Without a receiver the process is stopping.
        let _ = self.reports.send(report);
    }
}

fn notice_label(notice: ServerNotice) -> &'static str {
    match notice {
        ServerNotice::Leaving => "leaving",
        ServerNotice::Pause(_) => "pause",
        ServerNotice::Limit(Some(_)) => "limit",
        ServerNotice::Limit(None) => "limit-ended",
    }
}
