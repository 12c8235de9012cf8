//! Task that runs the dispatcher.

use {
    crate::{
        counters::Counters,
        instance_message::InstanceMessage,
        peers::DatagramSender,
        pending_decisions::{MAX_BATCH, PendingDecisions},
        prober::{Probe, Prober},
    },
    hemlockford_core::{
        dispatch::{DispatchAction, DispatchEvent, Dispatcher},
        measure::MeasureCounters,
        outcome::{NotRunReason, Outcome},
        slots::SlotMessage,
    },
    hemlockford_net::{BootClock, Timer},
    hemlockford_proxy::{Decision, DispatcherMessage},
    std::time::{Duration, Instant},
    tokio::sync::{mpsc, watch},
};

/// Interval of ticks while there is traffic. It bounds how late a call times out and how long a message to another
/// entry is delayed for coalescing.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Time after the last call or message during which ticks remain frequent.
const BUSY_PERIOD: Duration = Duration::from_millis(50);
/// Interval of ticks without traffic. A tick each millisecond would cost an idle instance about as much processor time
/// as its whole control plane may use.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a caller may retry if it was rejected because the configuration may be outdated.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Passes events to the dispatcher and executes its actions.
pub(crate) struct DispatcherTask {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) messages: mpsc::UnboundedReceiver<DispatcherMessage>,
    pub(crate) events: mpsc::UnboundedReceiver<DispatchEvent>,
    pub(crate) pending: PendingDecisions,
    pub(crate) serve_until: watch::Receiver<Option<Instant>>,
    pub(crate) datagrams: DatagramSender,
    pub(crate) timer: Timer,
    pub(crate) counters: Counters,
    pub(crate) prober: Prober,
    pub(crate) probe_events: mpsc::UnboundedReceiver<DispatchEvent>,
    /// Time of the last event, which is when the pending actions were decided.
    pub(crate) handled_at: Instant,
    /// Counters at the last update of the metrics.
    pub(crate) last_measure_counters: MeasureCounters,
}

impl DispatcherTask {
    pub(crate) async fn run(mut self) {
        let mut idle = self.timer.subscribe(IDLE_TICK_INTERVAL);
        let mut busy = None;
        let mut busy_until = Instant::now();
        let mut actions = Vec::new();
        loop {
            let is_busy = self.dispatcher.waiting() > 0 || Instant::now() < busy_until;
            if is_busy != busy.is_some() {
                busy = is_busy.then(|| self.timer.subscribe(BUSY_TICK_INTERVAL));
            }
            let busy_tick = async {
                match &mut busy {
                    Some(busy) => busy.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                event = self.events.recv() => match event {
                    Some(event) => {
                        // Among these events, only slot updates enable frequent ticks. Changes of the servers arrive
                        // several times a second and cause no messages to other entries.
                        if matches!(event, DispatchEvent::PeerMessage { message: SlotMessage::Update(..), .. }) {
                            busy_until = Instant::now() + BUSY_PERIOD;
                        }
                        self.handle(event, &mut actions);
                    }
                    None => return,
                },
                Some(event) = self.probe_events.recv() => self.handle(event, &mut actions),
                Some(_) = busy_tick => self.handle(DispatchEvent::Tick, &mut actions),
                Some(_) = idle.recv() => {
                    self.handle(DispatchEvent::Tick, &mut actions);
                    self.counters.waiting_calls.set(self.dispatcher.waiting() as i64);
                    self.counters.active_calls.set(self.dispatcher.active() as i64);
                    self.update_measure_metrics();
                }
                message = self.messages.recv() => match message {
                    Some(message) => {
                        busy_until = Instant::now() + BUSY_PERIOD;
                        self.handle_message(message, &mut actions);
                    }
                    None => return,
                },
            }
            for _ in 0..MAX_BATCH {
                let Ok(message) = self.messages.try_recv() else { break };
                self.handle_message(message, &mut actions);
            }
        }
    }

    fn handle_message(&mut self, message: DispatcherMessage, actions: &mut Vec<DispatchAction>) {
        let message = match message {
            DispatcherMessage::Arrive(_, reply) if !self.may_serve() => {
                // The worker may have dropped the call.
                let _ = reply.send(not_current());
                return;
            }
            message => message,
        };
        let event = self.pending.register(message);
        self.handle(event, actions);
    }

    fn handle(&mut self, event: DispatchEvent, actions: &mut Vec<DispatchAction>) {
        self.handled_at = Instant::now();
        self.dispatcher.handle(self.handled_at, event, actions);
        // Cancelling a call whose action cannot be executed frees its slot, which can add actions for other calls.
        while !actions.is_empty() {
            for action in std::mem::take(actions) {
                self.execute(action, actions);
            }
        }
    }

    fn execute(&mut self, action: DispatchAction, new_actions: &mut Vec<DispatchAction>) {
        match action {
            DispatchAction::Send { call, server, address, fresh_connection, pass_allowance, want_report } => {
                if !self.may_serve() {
                    self.dispatcher.handle(Instant::now(), DispatchEvent::Cancel(call), new_actions);
                    return self.pending.decide(call, not_current());
                }
                self.pending
                    .decide(call, Decision::Send { server, address, fresh_connection, pass_allowance, want_report });
            }
            DispatchAction::Reject { call, outcome, retry_after } => {
                self.pending.decide(call, Decision::Reject { outcome, retry_after });
            }
            DispatchAction::SendMessage { to, message } => self.datagrams.send(&to, InstanceMessage::Slots(message)),
            DispatchAction::Probe { probe, server: _, address, path, limit } => {
                self.prober.start(Probe { number: probe, address, path, limit, decided_at: self.handled_at });
            }
            // The entries of a roster neither exchange suspected requests nor relay calls.
            DispatchAction::ReportSuspect(_)
            | DispatchAction::SetSuspectHeads(_)
            | DispatchAction::Credit(_)
            | DispatchAction::Relay { .. }
            | DispatchAction::Hedge { .. }
            | DispatchAction::CheckPath { .. } => {}
        }
    }

    fn update_measure_metrics(&mut self) {
        let counters = self.dispatcher.measure_counters();
        self.counters.measure.update(&self.last_measure_counters, &counters, &self.dispatcher.measure_limits());
        self.last_measure_counters = counters;
    }

    /// Checks the expiry at the time of use, so that a process that was suspended does not serve an outdated
    /// configuration.
    fn may_serve(&self) -> bool {
        self.serve_until.borrow().is_some_and(|until| BootClock::now() < until)
    }
}

fn not_current() -> Decision {
    Decision::Reject { outcome: Outcome::NotRun(NotRunReason::ConfigurationNotCurrent), retry_after: RETRY_AFTER }
}
