//! The task that owns the dispatcher.

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
    hemlockford_net::Timer,
    hemlockford_proxy::{Decision, DispatcherMessage},
    std::time::{Duration, Instant},
    tokio::sync::{mpsc, watch},
};

/// Time between two ticks while there is traffic. It bounds how late a call is given up, and how long a
/// message to another entry that was held back to be coalesced waits.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Time after the last call or message for which ticks stay frequent.
const BUSY_PERIOD: Duration = Duration::from_millis(50);
/// Time between two ticks otherwise. Ticks each millisecond would cost an idle instance about as much
/// processor time as all of its control may use.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a caller that was refused for an outdated configuration may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Carries events into the dispatcher and its actions out.
pub(crate) struct DispatcherTask {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) messages: mpsc::UnboundedReceiver<DispatcherMessage>,
    pub(crate) control: mpsc::UnboundedReceiver<DispatchEvent>,
    pub(crate) pending: PendingDecisions,
    pub(crate) serve_until: watch::Receiver<Option<Instant>>,
    pub(crate) datagrams: DatagramSender,
    pub(crate) timer: Timer,
    pub(crate) counters: Counters,
    pub(crate) prober: Prober,
    pub(crate) probe_events: mpsc::UnboundedReceiver<DispatchEvent>,
    /// Time of the last event, which is when the actions were decided.
    pub(crate) handled_at: Instant,
    /// Counts that the metrics show.
    pub(crate) measured: MeasureCounters,
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
                event = self.control.recv() => match event {
                    Some(event) => {
                        // News of servers, which arrive several times a second, leave nothing to be sent.
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
                        self.take(message, &mut actions);
                    }
                    None => return,
                },
            }
            for _ in 0..MAX_BATCH {
                let Ok(message) = self.messages.try_recv() else { break };
                self.take(message, &mut actions);
            }
        }
    }

    fn take(&mut self, message: DispatcherMessage, actions: &mut Vec<DispatchAction>) {
        let message = match message {
            DispatcherMessage::Arrive(_, reply) if !self.may_serve() => {
                // A worker that left needs no answer.
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
        // An action that is taken back gives others their turn, which adds actions.
        while !actions.is_empty() {
            for action in std::mem::take(actions) {
                self.execute(action, actions);
            }
        }
    }

    fn execute(&mut self, action: DispatchAction, more: &mut Vec<DispatchAction>) {
        match action {
            DispatchAction::Send { call, server, address, fresh_connection, pass_allowance, want_report } => {
                if !self.may_serve() {
                    self.dispatcher.handle(Instant::now(), DispatchEvent::Cancel(call), more);
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
                self.prober.start(Probe { number: probe, address, path, limit, decided: self.handled_at });
            }
        }
    }

    fn update_measure_metrics(&mut self) {
        let counters = self.dispatcher.measure_counters();
        self.counters.measure.update(&self.measured, &counters, &self.dispatcher.measure_limits());
        self.measured = counters;
    }

    /// Compares with the time of use, so that a process that was frozen does not serve an old text.
    fn may_serve(&self) -> bool {
        self.serve_until.borrow().is_some_and(|until| Instant::now() < until)
    }
}

fn not_current() -> Decision {
    Decision::Reject { outcome: Outcome::NotRun(NotRunReason::ConfigurationNotCurrent), retry_after: RETRY_AFTER }
}
